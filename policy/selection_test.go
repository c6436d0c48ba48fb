package policy

import (
	"fmt"
	"math"
	"testing"
)

// If slices covered the endpoints unevenly, connection tables would fill up at endpoints that many replicas send to.
// Each slice takes the same number of endpoints from both groups, and an overloaded replica draws from nearly all
// endpoints.
func TestSlicesCoverTheEndpointsEvenly(t *testing.T) {
	drawn := map[string]int{}
	for index := range 60 {
		b := newBalancer(t, func(s *Settings) { s.ReplicaIndex, s.Tier, s.Replicas = index, 1, 60 })
		b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(80)})
		got := sendTraffic(b, 400, "get", func(string) AttemptResult { return Success })
		left := 0
		for id := range got {
			drawn[id]++
			if id < "s40" {
				left++
			}
		}
		if len(got) < minSliceEndpoints || len(got) > minSliceEndpoints+2 || left*2 != len(got) {
			t.Fatalf("replica %d drew %d endpoints, %d of them in the left group; want 4 to 6, half of them left",
				index, len(got), left)
		}
		b.subsets[0].inFlight = 160
		if got := sendTraffic(b, 4000, "get", func(string) AttemptResult { return Success }); len(got) < 70 {
			t.Fatalf("overloaded replica %d drew %d endpoints, want 70 of 80 at least", index, len(got))
		}
	}
	for _, s := range testEndpoints(80) {
		if n := drawn[s.ID]; n < 3 || n > 6 {
			t.Errorf("endpoint %s was drawn by %d replicas, want 3 to 6 (4.5 on average)", s.ID, n)
		}
	}
}

// A pick that ignored the attempts in flight, or was biased where they are equal, would load endpoints unevenly.
func TestPickTakesTheLessLoadedDraw(t *testing.T) {
	group := func(inFlight ...int) []*endpoint {
		var list []*endpoint
		for i, n := range inFlight {
			list = append(list, &endpoint{Endpoint: Endpoint{ID: fmt.Sprint(i, n)}, inFlight: n})
		}
		return list
	}
	b := newBalancer(t, nil)
	const n = 20000
	shareLeft := func(left, right []*endpoint) float64 {
		got := 0
		for range n {
			s := b.selector.pick(left, right)
			for _, l := range left {
				if s == l {
					got++
				}
			}
		}
		return float64(got) / n
	}
	for _, c := range []struct {
		name        string
		left, right []*endpoint
		want        float64
	}{
		{"fewer left", group(1), group(2), 1},
		{"fewer right", group(2), group(1), 0},
		{"zero beats one", group(1), group(0), 0},
		{"nonzero tie goes left", group(3), group(3), 1},
		{"zero tie by group sizes", group(0, 0, 0), group(0), 0.75},
		{"left empty", nil, group(1), 0},
		{"right empty", group(5), nil, 1},
	} {
		if got := shareLeft(c.left, c.right); math.Abs(got-c.want) > 0.02 {
			t.Errorf("%s: share of picks from the left group %.3f, want %.2f", c.name, got, c.want)
		}
	}
	if b.selector.pick(nil, nil) != nil {
		t.Error("an endpoint was picked from two empty groups")
	}
	left, count := group(0, 0, 0, 0), map[*endpoint]int{}
	for range n {
		count[b.selector.pick(left, nil)]++
	}
	for _, s := range left {
		if got := float64(count[s]) / n; math.Abs(got-0.25) > 0.02 {
			t.Errorf("one of 4 idle endpoints got %.3f of the draws, want 0.25", got)
		}
	}
}
