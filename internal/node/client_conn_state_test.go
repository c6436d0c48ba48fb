package node

import (
	"container/list"
	"net"
	"testing"
	"time"

	"keelusher/internal/metrics"
)

// newListedConn returns a connection in the given state, with one connection before and one behind it in each list.
func newListedConn(t *testing.T, state clientConnState) *clientConn {
	t.Helper()
	l := newLimitedListener(nil, 1, metrics.NewRecorder(nil), metrics.NewDecisions(discardLogger()))
	l.mu.Lock()
	defer l.mu.Unlock()
	newPipeConn(t, l)
	newPipeConn(t, l).transition(headRead)
	c := newPipeConn(t, l)
	c.state = state
	switch state {
	case clientConnIdle, clientConnExpired:
	case clientConnReceiving:
		c.leaveList()
		c.enterList(l.awaitingBody)
	default:
		c.leaveList()
	}
	newPipeConn(t, l)
	newPipeConn(t, l).transition(headRead)
	return c
}

// newPipeConn returns a connection that has just been admitted. The caller holds the lock.
func newPipeConn(t *testing.T, l *limitedListener) *clientConn {
	t.Helper()
	nodeEnd, peerEnd := net.Pipe()
	t.Cleanup(func() {
		nodeEnd.Close()
		peerEnd.Close()
	})
	return newClientConn(nodeEnd, l, time.Now())
}

// Every event in every state leads to the state in the table at clientConnState, and to the list of that state.
func TestClientConnTransitions(t *testing.T) {
	const unchanged = clientConnStates
	table := map[clientConnState][clientConnEvents]clientConnState{
		clientConnIdle: {headRead: clientConnReceiving, requestRead: clientConnServing, responseWritten: clientConnIdle,
			readExpired: clientConnExpired, closeStarted: clientConnClosing, closeEnded: clientConnClosed},
		clientConnReceiving: {headRead: clientConnReceiving, requestRead: clientConnServing, responseWritten: clientConnIdle,
			readExpired: unchanged, closeStarted: clientConnClosing, closeEnded: clientConnClosed},
		clientConnServing: {headRead: clientConnReceiving, requestRead: clientConnServing, responseWritten: clientConnIdle,
			readExpired: unchanged, closeStarted: clientConnClosing, closeEnded: clientConnClosed},
		clientConnExpired: {headRead: unchanged, requestRead: unchanged, responseWritten: unchanged,
			readExpired: unchanged, closeStarted: clientConnClosing, closeEnded: clientConnClosed},
		clientConnClosing: {headRead: unchanged, requestRead: unchanged, responseWritten: unchanged,
			readExpired: unchanged, closeStarted: unchanged, closeEnded: clientConnClosed},
		clientConnClosed: {headRead: unchanged, requestRead: unchanged, responseWritten: unchanged,
			readExpired: unchanged, closeStarted: unchanged, closeEnded: unchanged},
	}
	for from := clientConnIdle; from < clientConnStates; from++ {
		for event := headRead; event < clientConnEvents; event++ {
			c := newListedConn(t, from)
			l := c.listener
			l.mu.Lock()
			listBefore, followsBefore := c.list, isFollowed(c)
			c.transition(event)
			want := table[from][event]
			if want == unchanged {
				want = from
			}
			if c.state != want {
				t.Errorf("state %d, event %d: state %d, want %d", from, event, c.state, want)
			}
			if got := listOf(c); got != expectedList(l, want) {
				t.Errorf("state %d, event %d: the connection is in the wrong list", from, event)
			}
			entered := want == clientConnIdle || want == clientConnReceiving && table[from][event] != unchanged
			if entered && isFollowed(c) {
				t.Errorf("state %d, event %d: the connection is not the last in its list", from, event)
			}
			if want == clientConnExpired && (listBefore != listOf(c) || followsBefore != isFollowed(c)) {
				t.Errorf("state %d, event %d: the expired connection has moved in its list", from, event)
			}
			if reused := from != clientConnIdle || event == responseWritten; want == clientConnIdle && c.reused != reused {
				t.Errorf("state %d, event %d: reused %v, want %v", from, event, c.reused, reused)
			}
			l.mu.Unlock()
		}
	}
}

// Guards against an eviction that blocks all later ones: once the evicted connection has left its list, another
// connection can be evicted.
func TestEvictionEndsWhenConnectionLeavesList(t *testing.T) {
	for event := headRead; event < clientConnEvents; event++ {
		c := newListedConn(t, clientConnIdle)
		l := c.listener
		l.mu.Lock()
		l.evicting = c
		c.transition(event)
		if want := event == readExpired; (l.evicting == c) != want {
			t.Errorf("event %d: connection is being evicted: %v, want %v", event, !want, want)
		}
		l.mu.Unlock()
	}
}

// listOf returns the list that contains a connection; nil if none does.
func listOf(c *clientConn) *list.List {
	for _, l := range []*list.List{c.listener.awaitingHead, c.listener.awaitingBody} {
		for e := l.Front(); e != nil; e = e.Next() {
			if e.Value.(*clientConn) == c {
				return l
			}
		}
	}
	return nil
}

// isFollowed reports whether another connection comes after c in its list.
func isFollowed(c *clientConn) bool { return c.element != nil && c.element.Next() != nil }

// expectedList returns the list that contains the connections of a state; nil if none does.
func expectedList(l *limitedListener, state clientConnState) *list.List {
	switch state {
	case clientConnIdle, clientConnExpired:
		return l.awaitingHead
	case clientConnReceiving:
		return l.awaitingBody
	}
	return nil
}
