package policy

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// BenchmarkHandleBySize is a request with its send and its answer, by the number of servers and of copies. What counts is the
// ratio of the sizes in one run: it may grow with the list, not with its square.
func BenchmarkHandleBySize(b *testing.B) {
	for _, n := range []int{16, 64, 256, 1024} {
		for _, copies := range []int{2, 1024} {
			b.Run(fmt.Sprintf("servers=%d/copies=%d", n, copies), func(b *testing.B) {
				bal := newBalancer(b, func(s *Settings) { s.Replicas = copies })
				var list []Endpoint
				for i := range n {
					list = append(list, Endpoint{ID: fmt.Sprintf("s%04d", i), Zone: "z"})
				}
				bal.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
				b.ReportAllocs()
				now := time.Second
				for i := 0; b.Loop(); i++ {
					id := strconv.Itoa(i)
					now += msec
					for _, s := range sends(bal.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
						bal.Handle(now+msec/2, AttemptEnded{ID: id, Endpoint: s.Endpoint, Result: Success, Answered: true})
					}
				}
			})
		}
	}
}

// A thousand servers and as many copies are taken whole: every server is in the list, and copies draw from stretches all over it.
func TestAThousandServersAndCopies(t *testing.T) {
	const n = 1024
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%04d", i), Zone: "z"})
	}
	met := map[string]bool{}
	for self := 0; self < n; self += 32 {
		b := newBalancer(t, func(s *Settings) { s.Replicas, s.ReplicaIndex = n, self })
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: list})
		if listed, avoided := b.EndpointCounts(0); listed != n || avoided != 0 {
			t.Fatalf("copy %d lists %d servers and avoids %d", self, listed, avoided)
		}
		for i := range 40 {
			id := strconv.Itoa(i)
			for _, s := range sends(b.Handle(msec, Request{ID: id, Class: "get", Deadline: time.Second})) {
				met[s.Endpoint] = true
			}
		}
	}
	if len(met) < n/8 { // each of these 32 copies draws from its own stretch
		t.Errorf("32 copies together draw %d of %d servers", len(met), n)
	}
}
