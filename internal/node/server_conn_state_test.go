package node

import (
	"net"
	"testing"
)

// newPooledConn returns the only connection of a pool, in the given state.
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
		t.Fatalf("the new connection is in state %d, want %d", c.state, state)
	}
	return c
}

// Every event in every state leads to the state in the table of serverConnState, and the pool's records of the
// connection agree with that state.
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

// checkPoolRecords compares the records of the pool about its only connection with the connection's state. The caller
// holds pool.mu.
func checkPoolRecords(t *testing.T, c *serverConn) {
	t.Helper()
	idle := 0
	if c.state == serverConnIdle {
		idle = 1
	}
	if c.pool.idle.Len() != idle || len(c.endpoint.idle) != idle || (c.idleElement != nil) != (idle == 1) {
		t.Errorf("state %d: %d idle connections in the pool, %d of the endpoint, want one each only in the idle state",
			c.state, c.pool.idle.Len(), len(c.endpoint.idle))
	}
	if closed := c.state == serverConnClosed; c.pool.open[c] == closed {
		t.Errorf("state %d: the pool lists the connection as open: %v", c.state, c.pool.open[c])
	}
	select {
	case <-c.done:
		if c.state != serverConnClosed {
			t.Errorf("state %d: done is closed, want it open", c.state)
		}
	default:
		if c.state == serverConnClosed {
			t.Error("the connection is closed, but done is not")
		}
	}
}

// Every event in every state leads to the state in the table of exchangeState.
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
