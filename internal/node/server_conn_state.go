// The states of a connection to a server: its state in the pool, and the state of the exchange on it.

package node

// serverConnState is the state of a connection in the pool. It is guarded by pool.mu.
//
//	state   acquired   released   dropped
//	busy    -          idle       closed
//	idle    busy       -          closed
//	closed  -          -          -
//
// A dash means that the event does not change the state.
type serverConnState int

const (
	serverConnBusy   serverConnState = iota // it is in use by an attempt, or about to be
	serverConnIdle                          // it waits in the pool for the next attempt
	serverConnClosed                        // its socket is closed
	serverConnStates
)

// serverConnEvent is an event that may change the state of a connection.
type serverConnEvent int

const (
	serverConnAcquired serverConnEvent = iota // an attempt takes the connection from the idle ones
	serverConnReleased                        // an attempt returns the connection to the idle ones
	serverConnDropped                         // the connection is to be closed
	serverConnEvents
)

var serverConnTransitions = [serverConnStates]map[serverConnEvent]serverConnState{
	serverConnBusy:   {serverConnReleased: serverConnIdle, serverConnDropped: serverConnClosed},
	serverConnIdle:   {serverConnAcquired: serverConnBusy, serverConnDropped: serverConnClosed},
	serverConnClosed: {},
}

// transition applies an event and reports whether it changed the state. It adds the connection to the pool's idle
// connections or removes it from them, and closes a dropped connection. The caller holds pool.mu.
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

// exchangeState says how received bytes are to be treated. It is guarded by serverConn.readMu.
//
//	state       requestStarted   requestEnded   bytesReceived
//	quiet       awaiting         -              unexpected
//	awaiting    -                quiet          -
//	unexpected  -                -              -
//
// A dash means that the event does not change the state.
type exchangeState int

const (
	exchangeQuiet      exchangeState = iota // no request is on the connection: no bytes are expected
	exchangeAwaiting                        // a request is on the connection: received bytes are its response
	exchangeUnexpected                      // bytes arrived without a request: the connection cannot be reused
	exchangeStates
)

// exchangeEvent is an event that may change the state of the exchange.
type exchangeEvent int

const (
	requestStarted exchangeEvent = iota // a request is about to be written
	requestEnded                        // the response is complete, or no request was written
	bytesReceived
	exchangeEvents
)

var exchangeTransitions = [exchangeStates]map[exchangeEvent]exchangeState{
	exchangeQuiet:      {requestStarted: exchangeAwaiting, bytesReceived: exchangeUnexpected},
	exchangeAwaiting:   {requestEnded: exchangeQuiet},
	exchangeUnexpected: {},
}

// transition returns the state after an event.
func (s exchangeState) transition(event exchangeEvent) exchangeState {
	if next, ok := exchangeTransitions[s][event]; ok {
		return next
	}
	return s
}
