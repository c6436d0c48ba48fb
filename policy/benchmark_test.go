package policy

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// BenchmarkHandleBySize measures one request with its attempt and its answer, by the number of endpoints and of
// replicas. Compare the sizes within one run: the time may grow with the length of the list, not with its square.
func BenchmarkHandleBySize(b *testing.B) {
	for _, n := range []int{16, 64, 256, 1024} {
		for _, replicas := range []int{2, 1024} {
			b.Run(fmt.Sprintf("endpoints=%d/replicas=%d", n, replicas), func(b *testing.B) {
				bal := newBalancer(b, func(s *Settings) { s.Replicas = replicas })
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
					for _, s := range sendAttempts(bal.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
						bal.Handle(now+msec/2, AttemptEnded{ID: id, Endpoint: s.Endpoint, Result: Success, Answered: true})
					}
				}
			})
		}
	}
}
