package membership

import (
	"encoding/json"
	"maps"
	"time"
)

// delegate implements memberlist's callbacks for messages and state. It passes them on to the mesh's goroutine; no
// method may block for long.
type delegate Mesh

// NodeMeta returns the encoded metadata of this process, or nil if it exceeds the limit.
func (d *delegate) NodeMeta(limit int) []byte {
	text, err := json.Marshal(d.local.load())
	if err != nil || len(text) > limit {
		return nil // not expected: the length of names is limited so that the metadata fits
	}
	return text
}

// NotifyMsg queues a message from another member. It drops the message if it is malformed or the queue is full.
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

// GetBroadcasts returns nil: this package adds nothing to memberlist's gossip.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// fullState is the state that processes exchange at a join and periodically: the member list, and the incarnations and
// IDs of processes that have ended or left. Processes of older builds read it, so its tags must not change.
type fullState struct {
	Epoch      Epoch             `json:"e"`
	MemberList []string          `json:"r"`
	Previous   []string          `json:"b,omitempty"`
	Highest    map[string]uint64 `json:"h"`           // by member name: highest incarnation of its ended processes
	Departed   []string          `json:"l,omitempty"` // IDs of processes that leave or have left; not sent by older builds
}

// LocalState returns this process's encoded full state, or nil if the mesh's goroutine does not accept the request
// within a tick.
func (d *delegate) LocalState(bool) []byte {
	m := (*Mesh)(d)
	result := make(chan []byte, 1)
	select {
	case m.requests <- func() { result <- m.encodeFullState() }:
		return <-result
	case <-time.After(tickInterval):
		return nil // the mesh's goroutine may itself be waiting for memberlist
	}
}

// encodeFullState returns the full state as JSON.
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
	text, _ := json.Marshal(state) // cannot fail: the fields are plain values
	return text
}

// MergeRemoteState queues the full state that another process has sent. It drops the state if that is malformed or the
// queue is full.
func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	var state fullState
	if len(text) == 0 || json.Unmarshal(text, &state) != nil {
		return
	}
	select {
	case d.fullStates <- state:
	default: // the next exchange carries the same state
	}
}

// handleFullState adopts the member list of another process's full state if it is newer, and merges the incarnations
// and the departed processes.
func (m *Mesh) handleFullState(state fullState) {
	m.quorum.adoptMemberList(message{
		Epoch:      state.Epoch,
		MemberList: state.MemberList,
		Previous:   state.Previous,
	})
	m.incarnations.merge(state.Highest, m.cfg.Name)
	m.mergeDeparted(state.Departed)
}
