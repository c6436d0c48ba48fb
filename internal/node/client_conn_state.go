// The states of a client's connection.

package node

import (
	"container/list"
	"time"
)

// clientConnState is the state of a client's connection. It is guarded by limitedListener.mu. Each row lists the state
// that follows on each event:
//
//	state      headRead   requestRead  responseWritten  readExpired  closeStarted  closeEnded
//	idle       receiving  serving      idle             expired      closing       closed
//	receiving  receiving  serving      idle             -            closing       closed
//	serving    receiving  serving      idle             -            closing       closed
//	expired    -          -            -                -            closing       closed
//	closing    -          -            -                -            -             closed
//	closed     -          -            -                -            -             -
//
// A dash is an event that has no effect. Idle, receiving and expired connections are in the lists from which the
// listener evicts when its limit on connections is reached. A transition to idle or receiving, also from that same
// state, moves the connection to the end of the list of that state; an expired connection keeps its position.
type clientConnState int

const (
	clientConnIdle      clientConnState = iota // waits for the head of a request
	clientConnReceiving                        // the head of a request has been read, its body not completely
	clientConnServing                          // a request has been read, or is forwarded while its body arrives
	clientConnExpired                          // reading timed out or was stopped to evict it; no response is in flight
	clientConnClosing                          // the HTTP server is closing it; unread bytes may be read first
	clientConnClosed                           // the socket is closed
	clientConnStates
)

// clientConnEvent changes the state of a connection.
type clientConnEvent int

const (
	headRead        clientConnEvent = iota // the handler has received the head of a request
	requestRead                            // the handler has read the whole request, or streams its body
	responseWritten                        // the HTTP server waits for the next request
	readExpired                            // reading a request has timed out, or was stopped to evict the connection
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

// transition moves the connection to the state that follows on the event, and to the list of that state. The caller
// holds the lock.
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

// awaitsHead reports whether the connection has no request whose head has been read completely. The caller holds the
// lock.
func (c *clientConn) awaitsHead() bool {
	return c.state == clientConnIdle || c.state == clientConnExpired
}

// enterList appends the connection to a list of connections that may be evicted. The caller holds the lock.
func (c *clientConn) enterList(l *list.List) {
	c.list = l
	c.element = l.PushBack(c)
	c.listedSince = time.Now()
}

// leaveList removes the connection from its list. If it was being evicted, the listener may evict another one instead.
// The caller holds the lock.
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
