package policy

import (
	"fmt"
	"math"
	"testing"
)

// The slices of all replicas cover the endpoints about evenly, each has its share of both groups, and an overloaded
// replica reaches every endpoint: else connection tables fill up where many replicas send.
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
			t.Fatalf("replica %d drew %d endpoints, %d of them left", index, len(got), left)
		}
		b.subsets[0].inFlight = 160
		if got := sendTraffic(b, 4000, "get", func(string) AttemptResult { return Success }); len(got) < 70 {
			t.Fatalf("overloaded replica %d drew only %d endpoints", index, len(got))
		}
	}
	for _, s := range testEndpoints(80) {
		if n := drawn[s.ID]; n < 3 || n > 6 {
			t.Errorf("%s: drawn by %d replicas, want 4.5", s.ID, n)
		}
	}
}

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
			t.Errorf("%s: left share %.3f, want %.2f", c.name, got, c.want)
		}
	}
	if b.selector.pick(nil, nil) != nil {
		t.Error("picked from nothing")
	}
	left, count := group(0, 0, 0, 0), map[*endpoint]int{}
	for range n {
		count[b.selector.pick(left, nil)]++
	}
	for _, s := range left {
		if got := float64(count[s]) / n; math.Abs(got-0.25) > 0.02 {
			t.Errorf("uniform draw gave an endpoint %.3f", got)
		}
	}
}
