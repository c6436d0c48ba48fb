package admin

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"keelusher/internal/lifecycle"
	"keelusher/internal/metrics"
	"keelusher/policy"
)

// fakeNode is a Node that records what it is asked to do. Its fields set whether it has ended, can serve, and has a
// membership and overrides.
type fakeNode struct {
	ended     bool
	serves    bool
	members   []byte
	overrides http.Handler
	events    []lifecycle.Event
	evacuated []evacuation
}

type evacuation struct {
	zone            string
	evacuate, force bool
}

func (f *fakeNode) CanServe() bool { return f.serves }

func (f *fakeNode) Transition(event lifecycle.Event) bool {
	f.events = append(f.events, event)
	return !f.ended
}

func (f *fakeNode) Counters() (metrics.CountersPage, bool) { return metrics.CountersPage{}, !f.ended }

func (f *fakeNode) Decisions() metrics.DecisionsPage { return metrics.DecisionsPage{} }

func (f *fakeNode) Zones() ([]policy.Zone, time.Duration, bool) { return nil, 0, !f.ended }

func (f *fakeNode) EvacuateZone(name string, evacuate, force bool) (int, bool) {
	f.evacuated = append(f.evacuated, evacuation{name, evacuate, force})
	return http.StatusConflict, !f.ended
}

func (f *fakeNode) Members() ([]byte, bool) { return f.members, f.members != nil }

func (f *fakeNode) Overrides() http.Handler { return f.overrides }

// respond makes a call to the handler, without a connection, and returns the response.
func respond(node Node, method, path string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	NewServer(node, slog.New(slog.DiscardHandler)).Handler.ServeHTTP(recorder, httptest.NewRequest(method, path, nil))
	return recorder
}

// A path allows one method. A node that has ended responds with 503 where its state would be needed, and a node without
// membership or overrides with 404.
func TestStatuses(t *testing.T) {
	for _, tc := range []struct {
		method, path string
		node         fakeNode
		want         int
	}{
		{"GET", "/control/ready", fakeNode{serves: true}, 200},
		{"GET", "/control/ready", fakeNode{}, 503},
		{"GET", "/control/counters", fakeNode{}, 200},
		{"GET", "/control/counters", fakeNode{ended: true}, 503},
		{"GET", "/control/decisions", fakeNode{ended: true}, 200},
		{"GET", "/control/members", fakeNode{members: []byte("{}")}, 200},
		{"GET", "/control/members", fakeNode{}, 404},
		{"GET", "/control/zones", fakeNode{}, 200},
		{"GET", "/control/zones", fakeNode{ended: true}, 503},
		{"PUT", "/control/zones/z/evacuate", fakeNode{}, 409},
		{"PUT", "/control/zones/z/evacuate", fakeNode{ended: true}, 503},
		{"PUT", "/control/zones//evacuate", fakeNode{}, 404},
		{"PUT", "/control/zones/evacuate", fakeNode{}, 404},
		{"PUT", "/control/zones/z/remove", fakeNode{}, 404},
		{"PUT", "/control/out-of-service", fakeNode{}, 200},
		{"PUT", "/control/in-service", fakeNode{ended: true}, 503},
		{"GET", "/control/in-service", fakeNode{}, 405},
		{"GET", "/control/overrides", fakeNode{}, 404},
		{"GET", "/control/overrides", fakeNode{overrides: http.RedirectHandler("/", http.StatusFound)}, 302},
		{"PUT", "/control/overrides/1", fakeNode{overrides: http.RedirectHandler("/", http.StatusFound)}, 302},
		{"GET", "/control/overridesX", fakeNode{overrides: http.RedirectHandler("/", http.StatusFound)}, 404},
	} {
		if got := respond(&tc.node, tc.method, tc.path).Code; got != tc.want {
			t.Errorf("%s %s of node %+v: got status %d, want %d", tc.method, tc.path, tc.node, got, tc.want)
		}
	}
}

// Calls reach the node with the zone, the action and the force parameter that the operator gave.
func TestCallsReachTheNode(t *testing.T) {
	node := &fakeNode{}
	respond(node, "PUT", "/control/out-of-service")
	respond(node, "PUT", "/control/in-service")
	if len(node.events) != 2 || node.events[0] != lifecycle.Drain || node.events[1] != lifecycle.Resume {
		t.Errorf("lifecycle events: got %v, want Drain and Resume", node.events)
	}
	respond(node, "PUT", "/control/zones/hall/y/evacuate?force=yes")
	respond(node, "PUT", "/control/zones/z/restore")
	want := []evacuation{{"hall/y", true, true}, {"z", false, false}}
	if len(node.evacuated) != 2 || node.evacuated[0] != want[0] || node.evacuated[1] != want[1] {
		t.Errorf("evacuations: got %v, want %v", node.evacuated, want)
	}
}

// The page of a node without zones has an empty list, not null.
func TestNoZones(t *testing.T) {
	if got := respond(&fakeNode{}, "GET", "/control/zones").Body.String(); got != `{"zones":[]}`+"\n" {
		t.Errorf("page without zones: got %q, want an empty list", got)
	}
}
