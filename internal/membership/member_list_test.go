package membership

import (
	"slices"
	"testing"
)

// Guards against a receiver that reads another list than the leader sent: a receiver that has a former list is sent a
// delta from it, any other is sent the full list.
func TestMemberListIsReadAsWritten(t *testing.T) {
	leader := newMemberList("a", []string{"a", "b", "c"})
	leader.install(Epoch{1, "a"}, []string{"a", "b", "c"}, nil)
	follower := leader
	leader.install(Epoch{2, "a"}, []string{"a", "c", "d"}, []string{"a", "b", "c"})
	for name, tt := range map[string]struct {
		receiver  memberList
		wantDelta bool
	}{
		"receiver with a former list":    {follower, true},
		"receiver without a former list": {newMemberList("d", nil), false},
	} {
		t.Run(name, func(t *testing.T) {
			m := message{Epoch: leader.epoch}
			leader.writeTo(&m, tt.receiver.epoch)
			if got := m.ListDelta != nil; got != tt.wantDelta {
				t.Errorf("list sent as a delta: %v, want %v", got, tt.wantDelta)
			}
			names, previous, newer := tt.receiver.readFrom(m)
			if !newer || !slices.Equal(names, leader.names) || !slices.Equal(previous, leader.previous) {
				t.Errorf("read list %v, previous %v, newer %v, want the newer lists of the leader",
					names, previous, newer)
			}
		})
	}
}

// Guards against a message that replaces the member list by an invalid one, or by one of the same epoch.
func TestInvalidMemberListsAreRejected(t *testing.T) {
	list := newMemberList("a", []string{"a", "b"})
	for name, names := range map[string][]string{
		"empty":          {},
		"an empty name":  {"", "a"},
		"out of order":   {"b", "a"},
		"a name twice":   {"a", "a"},
		"too many names": slices.Repeat([]string{"a"}, maxMembers+1),
	} {
		if _, _, newer := list.readFrom(message{Epoch: Epoch{1, "b"}, MemberList: names}); newer {
			t.Errorf("%s: the invalid list was accepted", name)
		}
	}
	if _, _, newer := list.readFrom(message{MemberList: []string{"c"}}); newer {
		t.Error("a list of the same epoch was accepted")
	}
}
