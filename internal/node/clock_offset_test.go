package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// The offset between the process's clock and discovery's is the one closest to zero that is consistent with the Date of
// the first response. It stays the same when a later response has another Date.
func TestClockOffsetIsTheSmallestThatExplainsADate(t *testing.T) {
	date := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	dated := http.Header{"Date": {date.Format(http.TimeFormat)}}
	for name, tt := range map[string]struct {
		header         http.Header
		sent, received time.Duration // after the Date, by this process's clock
		want           time.Duration
	}{
		"equal clocks":                  {dated, 300 * time.Millisecond, 310 * time.Millisecond, 0},
		"equal clocks, end of a second": {dated, 999 * time.Millisecond, 999 * time.Millisecond, 0},
		"equal clocks, slow response":   {dated, -20 * time.Second, 20 * time.Second, 0},
		"ahead":                         {dated, time.Hour, time.Hour + time.Second, time.Hour - dateResolution},
		"behind":                        {dated, -time.Hour - time.Second, -time.Hour, -time.Hour},
		"no date":                       {http.Header{}, time.Hour, time.Hour, 0},
		"invalid date":                  {http.Header{"Date": {"noon"}}, time.Hour, time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var offset clockOffset
			at := time.Duration(date.UnixNano())
			offset.observe(tt.header, at+tt.sent, at+tt.received, discardLogger())
			if offset.ahead != tt.want {
				t.Errorf("the clock is %v ahead, want %v", offset.ahead, tt.want)
			}
			offset.observe(dated, at+2*time.Hour, at+2*time.Hour, discardLogger())
			if offset.known && tt.header.Get("Date") == dated.Get("Date") && offset.ahead != tt.want {
				t.Errorf("a later response changed the offset to %v", offset.ahead)
			}
		})
	}
}

// Guards against sending the full share of the load to a server that has just started: a process whose wall clock is
// ahead of discovery's would treat the server's start time in its first list as long past. Conversely, if the clock is
// behind, a server that started long ago must not count as warming up.
func TestSlowStartWithClockOffset(t *testing.T) {
	for name, tt := range map[string]struct {
		ahead   time.Duration // of this process's clock, compared with discovery's
		age     time.Duration // of the third server
		warming bool
	}{
		"equal":                    {0, 0, true},
		"ahead":                    {time.Hour, 0, true},
		"behind":                   {-time.Hour, 0, true},
		"equal, started long ago":  {0, 10 * time.Minute, false},
		"behind, started long ago": {-time.Hour, 10 * time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const servers, requests = 6, 900
			discoveryNow := time.Now().Add(-tt.ahead)
			list := endpointList{Version: 1, Snapshot: true}
			backends := make([]*backend, servers)
			for i := range backends {
				backends[i] = newBackend(t, serveOK)
				list.Endpoints = append(list.Endpoints, inService(fmt.Sprintf("s-%d", i), backends[i].addr()))
			}
			list.Endpoints[2].StartedAtMillis = float64(discoveryNow.Add(-tt.age).UnixMilli())
			cfg := testConfig(t, "pushed", list.Endpoints...)
			cfg.Discovery = datedDiscovery(t, discoveryNow, list)
			node := start(t, cfg)
			for i := range requests {
				if status, _, body := do(t, newRequest(t, node.url, "keyed", fmt.Sprint(i), "x")); status != http.StatusOK {
					t.Fatalf("request %d got status %d, body %s, want 200", i, status, body)
				}
			}
			observed := backends[2].requests()
			others := (requests - observed) / (servers - 1)
			if warming := observed <= others/2; warming != tt.warming {
				t.Errorf("the third server got %d requests, the others %d on average; want at most half only if warming up",
					observed, others)
			}
		})
	}
}

// datedDiscovery starts a discovery that serves one list, with the given time as the Date of its responses.
func datedDiscovery(t *testing.T, now time.Time, list endpointList) (address string) {
	t.Helper()
	text, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	return newDiscoveryServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Date", now.UTC().Format(http.TimeFormat))
		writeFlushed(w, string(text)+"\n")
		if r.URL.Query().Get("watch") != "" {
			<-r.Context().Done()
		}
	})
}
