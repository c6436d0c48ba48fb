// What the processes of a node share during an upgrade.

package node

import (
	"keelusher/internal/handover"
	"keelusher/internal/lifecycle"
)

// otherProcess is the predecessor or the successor of this process.
type otherProcess interface {
	ShareID(id string)
	ShareEvent(event lifecycle.Event)
}

// shareWithProcesses lets the node share with its successors and its predecessor, which is nil if there is none.
func (n *Node) shareWithProcesses(predecessor *handover.Predecessor) {
	others := []otherProcess{n.handover}
	if predecessor != nil {
		others = append(others, predecessor)
	}
	n.otherProcessesMutex.Lock()
	n.others = others
	n.otherProcessesMutex.Unlock()
	n.loop.runTask(func() {
		n.loop.shareID = func(id string) {
			for _, other := range others {
				other.ShareID(id)
			}
		}
	})
}

// shared returns what this process does with what another one shares, and what it shares from before.
func (n *Node) shared() *handover.Shared {
	return &handover.Shared{
		OnID:    n.recordForeignID,
		OnEvent: func(event lifecycle.Event) { n.lifecycle.Transition(event) },
		Known:   n.knownIDs,
		Phase:   n.lifecycle.Current,
	}
}

// operatorTransition handles the call of an operator, and passes it to the other processes: to clients they are one
// node, and the process that was called may be about to exit. It reports whether the call is allowed.
func (n *Node) operatorTransition(event lifecycle.Event) bool {
	if !n.lifecycle.Transition(event) {
		return false
	}
	n.otherProcessesMutex.Lock()
	defer n.otherProcessesMutex.Unlock()
	for _, other := range n.others {
		other.ShareEvent(event)
	}
	return true
}

// knownIDs returns the IDs of requests that may have run in this process, or may run now, and must not run again.
func (n *Node) knownIDs() []string {
	var ids []string
	n.loop.runTask(func() {
		ids = n.loop.recent.ids()
		for id, request := range n.loop.openRequests {
			if request.attemptCount > 0 && n.loop.recent.covers(request.meta.Class) {
				ids = append(ids, id)
			}
		}
	})
	return ids
}

// recordForeignID records the ID of a request that may run in another process of the node.
func (n *Node) recordForeignID(id string) {
	n.loop.runTask(func() { n.loop.recent.add(id, n.loop.clock.now()) })
}
