package main

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// requestHead returns the head of a POST of the class that must never run twice.
func requestHead(s site, id, budget, framing string) string {
	return "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + s.unsafe +
		"\r\nX-Caller: " + s.tenant + "\r\nX-Budget: " + budget + "\r\n" + framing + "\r\n\r\n"
}

// getHead returns a GET of the class that is safe to repeat.
func getHead(s site, id, budget string) string {
	return "GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + s.safe +
		"\r\nX-Caller: " + s.tenant + "\r\nX-Budget: " + budget + "\r\n\r\n"
}

// sentBytes is what the client's kernel knows of the bytes that were written to a connection.
type sentBytes struct {
	unacknowledged int // not yet acknowledged by the other machine
	window         int // how many more the other machine is ready to take
}

// sent returns the state of the bytes that were written to a connection.
func sent(c net.Conn) (state sentBytes, err error) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return state, err
	}
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		var info *unix.TCPInfo
		if info, failure = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); failure == nil {
			state.window = int(info.Snd_wnd)
			state.unacknowledged, failure = unix.IoctlGetInt(int(descriptor), unix.TIOCOUTQ)
		}
	})
	return state, errors.Join(err, failure)
}

// awaitAcknowledged returns when the other machine has acknowledged every byte that was written to a connection, and so
// holds the last one. It fails if that has not happened within the limit.
func awaitAcknowledged(c net.Conn, limit time.Duration) (sentBytes, error) {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Microsecond) {
		state, err := sent(c)
		if err != nil || state.unacknowledged == 0 {
			return state, err
		}
		if time.Now().After(end) {
			return state, errNotAcknowledged
		}
	}
}

var errNotAcknowledged = errors.New("the node's machine does not acknowledge what was written")
