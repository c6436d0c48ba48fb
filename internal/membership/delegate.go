package membership

import (
	"encoding/json"
	"maps"
	"time"
)

// delegate is what memberlist calls for messages and state. It hands everything to the mesh's goroutine; nothing in it
// may block.
type delegate Mesh

// NodeMeta is what this process publishes of itself.
func (d *delegate) NodeMeta(limit int) []byte {
	text, err := json.Marshal(d.local.load())
	if err != nil || len(text) > limit {
		return nil // names are bounded so that it fits
	}
	return text
}

// NotifyMsg takes a message of another member.
func (d *delegate) NotifyMsg(text []byte) {
	var msg message
	if err := json.Unmarshal(text, &msg); err != nil || msg.From == "" {
		d.drops.Malformed.Add(1)
		return
	}
	select {
	case d.inbox <- msg:
	default:
		d.drops.Full.Add(1)
	}
}

// GetBroadcasts has nothing to add to the gossip.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// fullState is what processes exchange at a join and now and then: the member list, and incarnations and leaves of
// processes that have ended. Processes of older builds read it, so its tags stay.
type fullState struct {
	Epoch      Epoch             `json:"e"`
	MemberList []string          `json:"r"`
	Previous   []string          `json:"b,omitempty"`
	Highest    map[string]uint64 `json:"h"`
	Departed   []string          `json:"l,omitempty"` // IDs of processes that leave or have left; older builds have none
}

// LocalState is this process's full state.
func (d *delegate) LocalState(bool) []byte {
	m := (*Mesh)(d)
	result := make(chan []byte, 1)
	select {
	case m.requests <- func() { result <- m.encodeFullState() }:
		return <-result
	case <-time.After(tickInterval):
		return nil // the mesh is busy with memberlist itself
	}
}

func (m *Mesh) encodeFullState() []byte {
	state := fullState{
		Epoch:      m.quorum.list.epoch,
		MemberList: m.quorum.list.names,
		Previous:   m.quorum.list.previous,
		Highest:    maps.Clone(m.incarnations.highest),
		Departed:   m.departedIDs(),
	}
	for _, p := range m.processes.byID {
		if !p.isLive() && p.metadata.Incarnation > state.Highest[p.name] {
			state.Highest[p.name] = p.metadata.Incarnation
		}
	}
	text, _ := json.Marshal(state) // plain values
	return text
}

// MergeRemoteState takes another process's LocalState.
func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	var state fullState
	if len(text) == 0 || json.Unmarshal(text, &state) != nil {
		return
	}
	select {
	case d.fullStates <- state:
	default: // the next exchange has it
	}
}

// handleFullState takes the member list, the incarnations and the leaves that another process remembers.
func (m *Mesh) handleFullState(state fullState) {
	m.quorum.adoptMemberList(message{
		Epoch:      state.Epoch,
		MemberList: state.MemberList,
		Previous:   state.Previous,
	})
	m.incarnations.merge(state.Highest, m.cfg.Name)
	m.noteDeparted(state.Departed)
}
