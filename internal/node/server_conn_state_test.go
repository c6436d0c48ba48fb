package node

import (
	"net"
	"testing"
)

// newPooledConn is a connection of a pool in a state.
func newPooledConn(t *testing.T, state serverConnState) *serverConn {
	t.Helper()
	p := testPool(t)
	nodeEnd, peerEnd := net.Pipe()
	t.Cleanup(func() {
		nodeEnd.Close()
		peerEnd.Close()
	})
	c := &serverConn{Conn: nodeEnd, pool: p, endpoint: &endpoint{id: "s"}, done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = true
	switch state {
	case serverConnIdle:
		c.transition(serverConnReleased)
	case serverConnClosed:
		c.transition(serverConnDropped)
	}
	if c.state != state {
		t.Fatalf("state %d, want %d", c.state, state)
	}
	return c
}

// Every event in every state leads to the state that the table of serverConnState says, and the pool's records follow.
func TestServerConnTransitions(t *testing.T) {
	const unchanged = serverConnStates
	table := map[serverConnState][serverConnEvents]serverConnState{
		serverConnBusy: {serverConnAcquired: unchanged, serverConnReleased: serverConnIdle,
			serverConnDropped: serverConnClosed},
		serverConnIdle: {serverConnAcquired: serverConnBusy, serverConnReleased: unchanged,
			serverConnDropped: serverConnClosed},
		serverConnClosed: {serverConnAcquired: unchanged, serverConnReleased: unchanged, serverConnDropped: unchanged},
	}
	for from := serverConnBusy; from < serverConnStates; from++ {
		for event := serverConnAcquired; event < serverConnEvents; event++ {
			c := newPooledConn(t, from)
			want, changes := table[from][event], true
			if want == unchanged {
				want, changes = from, false
			}
			c.pool.mu.Lock()
			if changed := c.transition(event); changed != changes {
				t.Errorf("state %d, event %d: changed %v, want %v", from, event, changed, changes)
			}
			if c.state != want {
				t.Errorf("state %d, event %d: state %d, want %d", from, event, c.state, want)
			}
			checkPoolRecords(t, c)
			c.pool.mu.Unlock()
		}
	}
}

// checkPoolRecords compares what the pool knows of its only connection with the state. The caller holds the lock.
func checkPoolRecords(t *testing.T, c *serverConn) {
	t.Helper()
	idle := 0
	if c.state == serverConnIdle {
		idle = 1
	}
	if c.pool.idle.Len() != idle || len(c.endpoint.idle) != idle || (c.idleElement != nil) != (idle == 1) {
		t.Errorf("state %d: %d idle in the pool, %d of the endpoint", c.state, c.pool.idle.Len(), len(c.endpoint.idle))
	}
	if closed := c.state == serverConnClosed; c.pool.open[c] == closed {
		t.Errorf("state %d: open %v", c.state, c.pool.open[c])
	}
	select {
	case <-c.done:
		if c.state != serverConnClosed {
			t.Errorf("state %d: done", c.state)
		}
	default:
		if c.state == serverConnClosed {
			t.Error("closed, and not done")
		}
	}
}

// Every event in every state leads to the state that the table of exchangeState says.
func TestExchangeTransitions(t *testing.T) {
	table := map[exchangeState][exchangeEvents]exchangeState{
		exchangeQuiet: {requestStarted: exchangeAwaiting, requestEnded: exchangeQuiet,
			bytesReceived: exchangeUnexpected},
		exchangeAwaiting: {requestStarted: exchangeAwaiting, requestEnded: exchangeQuiet,
			bytesReceived: exchangeAwaiting},
		exchangeUnexpected: {requestStarted: exchangeUnexpected, requestEnded: exchangeUnexpected,
			bytesReceived: exchangeUnexpected},
	}
	for from := exchangeQuiet; from < exchangeStates; from++ {
		for event := requestStarted; event < exchangeEvents; event++ {
			if got, want := from.transition(event), table[from][event]; got != want {
				t.Errorf("state %d, event %d: state %d, want %d", from, event, got, want)
			}
		}
	}
}
