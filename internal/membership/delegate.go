// What the library calls.

package membership

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/hashicorp/memberlist"
)

// delegate is what memberlist calls; nothing in it may block.
type delegate Mesh

// NodeMeta is what this process tells of itself.
func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, err := json.Marshal(d.mine)
	if err != nil || len(text) > limit {
		return nil // names are bounded so that it fits
	}
	return text
}

// NotifyMsg takes a council's message.
func (d *delegate) NotifyMsg(text []byte) {
	var msg message
	if err := json.Unmarshal(text, &msg); err != nil || msg.From == "" {
		d.drops.Malformed.Add(1)
		return
	}
	select {
	case d.mail <- msg:
	default:
		d.drops.Full.Add(1)
	}
}

// GetBroadcasts has nothing to add to the gossip.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// lore is what processes tell each other in full, at a join and now and then: the roster, and incarnations that nobody
// alive has.
type lore struct {
	Epoch   Epoch             `json:"e"`
	Roster  []string          `json:"r"`
	Prev    []string          `json:"b,omitempty"`
	Highest map[string]uint64 `json:"h"`
}

// LocalState is this process's lore.
func (d *delegate) LocalState(bool) []byte {
	m := (*Mesh)(d)
	answer := make(chan []byte, 1)
	select {
	case m.asks <- func() {
		q := m.quorum
		all := lore{q.list.epoch, q.list.names, q.list.previous, maps.Clone(m.highest)}
		for _, p := range m.processes {
			if !p.lives() && p.meta.Incarnation > all.Highest[p.name] {
				all.Highest[p.name] = p.meta.Incarnation
			}
		}
		text, _ := json.Marshal(all) // plain values
		answer <- text
	}:
		return <-answer
	case <-time.After(tickInterval):
		return nil // the mesh is busy with the library itself
	}
}

// MergeRemoteState takes another's LocalState.
func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	var l lore
	if len(text) == 0 || json.Unmarshal(text, &l) != nil {
		return
	}
	select {
	case d.lores <- l:
	default:
	}
}

func (d *delegate) notify(n *memberlist.Node, live bool) {
	select {
	case d.events <- processEvent{*n, live}:
	default:
		d.missed.Store(true)
	}
}

// NotifyJoin, NotifyLeave and NotifyUpdate pass changes on to the mesh's goroutine.
func (d *delegate) NotifyJoin(n *memberlist.Node) { d.notify(n, true) }

// NotifyLeave tells of a process that is gone or has left.
func (d *delegate) NotifyLeave(n *memberlist.Node) { d.notify(n, false) }

// NotifyUpdate tells of new meta data.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.notify(n, true) }

// AckPayload has nothing to add to an answer.
func (d *delegate) AckPayload() []byte { return nil }

// NotifyPingComplete says that a process has answered this one's probe.
func (d *delegate) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	(*Mesh)(d).suspect(n.Name, false)
}
