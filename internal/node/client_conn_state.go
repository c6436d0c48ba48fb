// The states of a client's connection.

package node

import (
	"container/list"
	"time"
)

// clientConnState is what a client's connection is used for. It is guarded by limitedListener.mu.
//
//	state      headRead   requestRead  responseWritten  readExpired  closeStarted  closeEnded
//	idle       receiving  serving      idle             expired      closing       closed
//	receiving  receiving  serving      idle             -            closing       closed
//	serving    receiving  serving      idle             -            closing       closed
//	expired    -          -            -                -            closing       closed
//	closing    -          -            -                -            -             closed
//	closed     -          -            -                -            -             -
//
// A dash is an event that changes nothing. An idle, receiving or expired connection stands in a list of the listener's,
// from which one is evicted when the limit is reached. A transition to idle or receiving puts it last in its list,
// also one from that same state; an expired connection stays where it stood.
type clientConnState int

const (
	clientConnIdle      clientConnState = iota // it waits for the head of a request
	clientConnReceiving                        // a head was read, its body not yet
	clientConnServing                          // a request was read, or is forwarded while it is read
	clientConnExpired                          // its reader has ended it, without a response on its way
	clientConnClosing                          // the HTTP server closes it; unread bytes may be read first
	clientConnClosed                           // its socket is closed
	clientConnStates
)

// clientConnEvent changes the state of a connection.
type clientConnEvent int

const (
	headRead        clientConnEvent = iota // the handler has a request's head
	requestRead                            // the handler has all of a request, or streams its body
	responseWritten                        // the HTTP server waits for the next request
	readExpired                            // the reader ends a connection without a request
	closeStarted
	closeEnded
	clientConnEvents
)

var clientConnTransitions = [clientConnStates]map[clientConnEvent]clientConnState{
	clientConnIdle: {
		headRead:        clientConnReceiving,
		requestRead:     clientConnServing,
		responseWritten: clientConnIdle,
		readExpired:     clientConnExpired,
		closeStarted:    clientConnClosing,
		closeEnded:      clientConnClosed,
	},
	clientConnReceiving: {
		headRead:        clientConnReceiving,
		requestRead:     clientConnServing,
		responseWritten: clientConnIdle,
		closeStarted:    clientConnClosing,
		closeEnded:      clientConnClosed,
	},
	clientConnServing: {
		headRead:        clientConnReceiving,
		requestRead:     clientConnServing,
		responseWritten: clientConnIdle,
		closeStarted:    clientConnClosing,
		closeEnded:      clientConnClosed,
	},
	clientConnExpired: {
		closeStarted: clientConnClosing,
		closeEnded:   clientConnClosed,
	},
	clientConnClosing: {
		closeEnded: clientConnClosed,
	},
	clientConnClosed: {},
}

// transition moves the connection to its next state, and to the list that goes with it. The caller holds the lock.
func (c *clientConn) transition(event clientConnEvent) {
	next, ok := clientConnTransitions[c.state][event]
	if !ok {
		return
	}
	c.state = next
	switch next {
	case clientConnExpired:
	case clientConnIdle:
		c.leaveList()
		c.enterList(c.listener.awaitingHead)
		c.reused = true
		c.idleSince = time.Now()
		c.listener.changed.Signal()
	case clientConnReceiving:
		c.leaveList()
		c.enterList(c.listener.awaitingBody)
		c.listener.changed.Signal()
	default:
		c.leaveList()
	}
}

// awaitsHead reports whether no complete head has been read since the last request. The caller holds the lock.
func (c *clientConn) awaitsHead() bool {
	return c.state == clientConnIdle || c.state == clientConnExpired
}

// enterList puts the connection last in a list of connections that may be evicted. The caller holds the lock.
func (c *clientConn) enterList(l *list.List) {
	c.list = l
	c.element = l.PushBack(c)
	c.listedSince = time.Now()
}

// leaveList takes the connection out of its list. If it was to be evicted, another one is in its place. The caller
// holds the lock.
func (c *clientConn) leaveList() {
	if c.element != nil {
		c.list.Remove(c.element)
		c.element = nil
	}
	if c.listener.evicting == c {
		c.listener.evicting = nil
		c.listener.changed.Signal()
		if c.state != clientConnClosed {
			c.applyReadDeadline()
		}
	}
}
