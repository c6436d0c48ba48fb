// The states of a connection to a server: what the pool uses it for, and what its reader may expect.

package node

// serverConnState is what the pool uses a connection for. It is guarded by pool.mu.
//
//	state   acquired   released   dropped
//	busy    -          idle       closed
//	idle    busy       -          closed
//	closed  -          -          -
//
// A dash is an event that changes nothing.
type serverConnState int

const (
	serverConnBusy   serverConnState = iota // an attempt has it, or is about to
	serverConnIdle                          // it waits in the pool for the next attempt
	serverConnClosed                        // its socket is closed
	serverConnStates
)

// serverConnEvent changes the state of a connection.
type serverConnEvent int

const (
	serverConnAcquired serverConnEvent = iota // an attempt takes it out of the pool
	serverConnReleased                        // an attempt returns it to the pool
	serverConnDropped                         // it is to be closed
	serverConnEvents
)

var serverConnTransitions = [serverConnStates]map[serverConnEvent]serverConnState{
	serverConnBusy:   {serverConnReleased: serverConnIdle, serverConnDropped: serverConnClosed},
	serverConnIdle:   {serverConnAcquired: serverConnBusy, serverConnDropped: serverConnClosed},
	serverConnClosed: {},
}

// transition moves the connection to its next state, into or out of the pool's idle connections, and closes it where
// it is dropped. It reports whether the event changed the state. The caller holds pool.mu.
func (c *serverConn) transition(event serverConnEvent) (changed bool) {
	next, ok := serverConnTransitions[c.state][event]
	if !ok {
		return false
	}
	if c.state == serverConnIdle {
		c.pool.removeIdle(c)
	}
	c.state = next
	switch next {
	case serverConnIdle:
		c.pool.addIdle(c)
	case serverConnClosed:
		close(c.done)
		c.Close()
		delete(c.pool.open, c)
	}
	return true
}

// exchangeState is what received bytes are taken for. It is guarded by serverConn.readMu.
//
//	state       requestStarted   requestEnded   bytesReceived
//	quiet       awaiting         -              unexpected
//	awaiting    -                quiet          -
//	unexpected  -                -              -
//
// A dash is an event that changes nothing.
type exchangeState int

const (
	exchangeQuiet      exchangeState = iota // no request is on the connection: no bytes may come
	exchangeAwaiting                        // a request is: what comes is its response
	exchangeUnexpected                      // bytes came without a request: the connection cannot be used again
	exchangeStates
)

// exchangeEvent changes the state of the exchange.
type exchangeEvent int

const (
	requestStarted exchangeEvent = iota
	requestEnded
	bytesReceived
	exchangeEvents
)

var exchangeTransitions = [exchangeStates]map[exchangeEvent]exchangeState{
	exchangeQuiet:      {requestStarted: exchangeAwaiting, bytesReceived: exchangeUnexpected},
	exchangeAwaiting:   {requestEnded: exchangeQuiet},
	exchangeUnexpected: {},
}

// transition is the state after an event.
func (s exchangeState) transition(event exchangeEvent) exchangeState {
	if next, ok := exchangeTransitions[s][event]; ok {
		return next
	}
	return s
}
