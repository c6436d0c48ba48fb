package membership

import "testing"

func TestReplayWindowAcceptsEachNumberOnce(t *testing.T) {
	var window replayWindow
	for _, step := range []struct {
		sequence uint64
		want     bool
	}{
		{0, false},
		{5, true},
		{5, false},
		{4, true},
		{70, true},
		{5, false},
		{6, false},
		{7, true},
		{7, false},
		{1000, true},
		{936, false},
		{937, true},
	} {
		if got := window.accept(step.sequence); got != step.want {
			t.Errorf("accept(%d) = %v, want %v", step.sequence, got, step.want)
		}
	}
}
