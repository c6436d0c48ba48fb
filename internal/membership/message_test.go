package membership

import (
	"strings"
	"testing"
	"time"
)

// FuzzMessage guards against a message that makes the quorum panic, or leaves it with an invalid member list.
func FuzzMessage(f *testing.F) {
	f.Add(`{"f":"n1","e":{"number":1,"leader":"n1"},"r":["n1","n2"],"k":1,"q":5}`)
	f.Add(`{"f":"n1","r":[""],"e":{"number":18446744073709551615}}`)
	f.Fuzz(func(t *testing.T, text string) {
		m := &Mesh{inbox: make(chan message, 1)}
		(*delegate)(m).NotifyMsg([]byte(text))
		q := newQuorum("n0", 1, []string{"n0", "n1"}, 0)
		q.updateLiveness(time.Second, map[string]bool{"n0": true, "n1": true}, nil)
		select {
		case msg := <-m.inbox:
			q.handle(2*time.Second, msg, 1)
			q.tick(3*time.Second, 1)
			names := q.list.names
			if len(names) == 0 || strings.Join(names, "") == "" && len(names) > 1 {
				t.Errorf("after message %q the member list is invalid: %q", text, names)
			}
		default:
		}
	})
}
