package membership

import (
	"slices"
	"testing"
)

// A process that has a former list is sent what has changed since; one that has none of them is sent the list itself.
func TestMemberListIsReadFromItsDescription(t *testing.T) {
	leader := newMemberList("a", []string{"a", "b", "c"})
	leader.enter(Epoch{1, "a"}, []string{"a", "b", "c"}, nil)
	follower := leader
	leader.enter(Epoch{2, "a"}, []string{"a", "c", "d"}, []string{"a", "b", "c"})
	for name, tt := range map[string]struct {
		receiver  memberList
		wantDelta bool
	}{
		"with the former list": {follower, true},
		"without any":          {newMemberList("d", nil), false},
	} {
		t.Run(name, func(t *testing.T) {
			m := message{Epoch: leader.epoch}
			leader.describe(&m, tt.receiver.epoch)
			if got := m.ListDelta != nil; got != tt.wantDelta {
				t.Errorf("described by a delta: %v, want %v", got, tt.wantDelta)
			}
			names, previous, newer := tt.receiver.read(m)
			if !newer || !slices.Equal(names, leader.names) || !slices.Equal(previous, leader.previous) {
				t.Errorf("read %v after %v, newer %v", names, previous, newer)
			}
		})
	}
}

func TestInvalidMemberListsAreNotRead(t *testing.T) {
	list := newMemberList("a", []string{"a", "b"})
	for name, names := range map[string][]string{
		"empty":          {},
		"an empty name":  {"", "a"},
		"out of order":   {"b", "a"},
		"a name twice":   {"a", "a"},
		"too many names": slices.Repeat([]string{"a"}, maxMembers+1),
	} {
		if _, _, newer := list.read(message{Epoch: Epoch{1, "b"}, MemberList: names}); newer {
			t.Errorf("%s: the list was read", name)
		}
	}
	if _, _, newer := list.read(message{MemberList: []string{"c"}}); newer {
		t.Error("a list of the same epoch was read")
	}
}
