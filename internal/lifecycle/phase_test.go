package lifecycle

import "testing"

// Guards against a node that returns to service after its shutdown began, or that serves before an endpoint list has
// been received, in particular after an operator drained and resumed it.
func TestLifecycleTransitions(t *testing.T) {
	for name, tc := range map[string]struct {
		events   []Event
		want     Phase
		rejected bool // whether the last event is rejected
	}{
		"list received": {
			events: []Event{ListReceived},
			want:   Serving,
		},
		"drained before a list is received": {
			events: []Event{Drain, ListReceived},
			want:   Drained,
		},
		"resumed too early": {
			events: []Event{Drain, Resume},
			want:   Starting,
		},
		"resumed, then list received": {
			events: []Event{Drain, Resume, ListReceived},
			want:   Serving,
		},
		"drained and resumed, twice": {
			events: []Event{ListReceived, Drain, Resume, Drain, Resume},
			want:   Serving,
		},
		"no resume after shutdown": {
			events:   []Event{ListReceived, Shutdown, Resume},
			want:     ShuttingDown,
			rejected: true,
		},
		"drained, then shutdown": {
			events: []Event{ListReceived, Drain, Shutdown},
			want:   ShuttingDown,
		},
		"drain after shutdown": {
			events: []Event{ListReceived, Shutdown, Drain},
			want:   ShuttingDown,
		},
	} {
		m := New(func(Phase, Phase) {})
		ok := true
		for _, event := range tc.events {
			ok = m.Transition(event)
		}
		if m.Current() != tc.want || ok == tc.rejected {
			t.Errorf("%s: got phase %v, last event allowed: %v, want the values of this case", name, m.Current(), ok)
		}
	}
}
