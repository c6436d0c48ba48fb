package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// newTestRecord returns a record of limit IDs for a second.
func newTestRecord(limit int) *recentRequests {
	return &recentRequests{lifetime: time.Second, limit: limit, added: map[string]time.Duration{}}
}

// The record of IDs must not grow with the requests, and must keep an ID for its lifetime, counted from the last time
// that it was added.
func TestRecentRequestsAreBounded(t *testing.T) {
	r := newTestRecord(3)
	for i := range 100 {
		r.add(fmt.Sprint(i), time.Duration(i))
	}
	if len(r.added) != 3 || len(r.order) != 3 || !r.contains("97", 100) || r.contains("96", 100) {
		t.Errorf("after 100 IDs the record holds %v, want the last 3", r.ids())
	}
	r = newTestRecord(3)
	r.add("a", 0)
	r.add("b", 0)
	r.add("a", time.Second)
	if !r.contains("a", 1500*time.Millisecond) || r.contains("b", 1500*time.Millisecond) {
		t.Errorf("after 1.5 s the record holds %v, want a, which was added again", r.ids())
	}
	if got := r.ids(); len(got) != 1 || got[0] != "a" {
		t.Errorf("the record holds %v, want a", got)
	}
	if r.contains("a", 3*time.Second) || len(r.order) != 0 {
		t.Errorf("after its lifetime the record holds %v, want nothing", r.ids())
	}
}

// Guards against a request that runs twice because it comes again at the other process of an upgrade: each process
// must know what has been sent by the other, before and after the hand-over, and while the attempt is in flight.
func TestRequestRunsOnceAcrossAnUpgrade(t *testing.T) {
	b := newBackend(t, serveOK)
	cfg := upgradeConfig(t, b)
	send := func(client *http.Client, r *runningNode, class, id string) int {
		response, err := client.Do(newRequest(t, r.url, class, id, "x"))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		return response.StatusCode
	}
	oldProcess := startProcess(t, cfg)
	oldClient := &http.Client{Transport: &http.Transport{}} // keeps its connection to the old process
	if status := send(oldClient, oldProcess, "unsafe", "before"); status != http.StatusOK {
		t.Fatalf("the first request got status %d, want 200", status)
	}
	newProcess := startSuccessor(t, cfg)
	knows := func(process *runningNode, id string) func() bool {
		return func() (known bool) {
			process.loop.runTask(func() { known = process.loop.recent.contains(id, process.loop.clock.now()) })
			return known
		}
	}
	eventually(t, "the new process knows what ran before it", knows(newProcess, "before"))
	recordedBy := map[string]*runningNode{"old": newProcess, "new": oldProcess}
	for name, process := range map[string]*runningNode{"old": oldProcess, "new": newProcess} {
		process.loop.runTask(func() { process.loop.shareID("during-" + name) })
		eventually(t, "the other process knows what this one sends", knows(recordedBy[name], "during-"+name))
	}
	oldProcess.stopAndWait(t)
	newClient := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for id, want := range map[string]int{"before": http.StatusConflict, "during-old": http.StatusConflict,
		"other": http.StatusOK} {
		if status := send(newClient, newProcess, "unsafe", id); status != want {
			t.Errorf("request %q at the new process got status %d, want %d", id, status, want)
		}
	}
	if got := b.requestsWithID("before"); got != 1 {
		t.Errorf("the server has run the request %d times, want once", got)
	}
}
