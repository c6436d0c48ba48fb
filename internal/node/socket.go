// Non-blocking queries of the state that the kernel keeps of a connection's socket.

package node

import (
	"net"
	"syscall"
	"time"

	"keelusher/policy/guard"

	"golang.org/x/sys/unix"
)

const maxPollAttempts = 3 // poll(2) may be interrupted, or fail for a temporary lack of memory

// peerState reports whether the peer has closed a connection or shut down its sending direction.
func peerState(c net.Conn) guard.ClientState {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return guard.ClientConnected // the connection has no descriptor to query
	}
	state := guard.ClientStateUnknown
	err = raw.Control(func(fd uintptr) { state = pollPeer(int32(fd)) })
	if err != nil { // the node has closed the connection
		return guard.ClientClosed
	}
	return state
}

// pollPeer returns the state of the peer of a socket, given its descriptor.
func pollPeer(fd int32) guard.ClientState {
	descriptors := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	for range maxPollAttempts {
		if _, err := unix.Poll(descriptors, 0); err != nil {
			continue
		}
		if descriptors[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
			return guard.ClientClosed
		}
		return guard.ClientConnected
	}
	return guard.ClientStateUnknown
}

// hasUnreadBytes reports whether the kernel holds received bytes that have not been read.
func hasUnreadBytes(c net.Conn) (unread bool) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// readAvailable reads the bytes that the kernel holds, without waiting for more. It returns 0 if there are none.
func readAvailable(c net.Conn, b []byte) (n int) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	err = raw.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), b) })
	if err != nil { // the node has closed the connection
		return 0
	}
	return max(n, 0)
}

// writeAvailable writes as much of a text as the kernel takes without waiting, and ignores errors.
func writeAvailable(c net.Conn, text string) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _, _ = syscall.Write(int(fd), []byte(text)) })
}

// sinceLastBytes returns how long ago the kernel received the last bytes on a connection, with a precision of a few
// milliseconds; 0 if unknown.
func sinceLastBytes(c net.Conn) (ago time.Duration) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { // fails on a connection that the node has closed
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return ago
}

// unacknowledgedBytes returns how many bytes of what was written to a connection the peer's kernel has not
// acknowledged; 0 if unknown.
func unacknowledgedBytes(c net.Conn) int { return queuedBytes(c, unix.TIOCOUTQ) }

// unreadBytes returns how many received bytes of a connection have not been read; 0 if unknown.
func unreadBytes(c net.Conn) int { return queuedBytes(c, unix.TIOCINQ) }

// queuedBytes returns the length of a queue of a connection's socket, which the request for ioctl(2) names; 0 if
// unknown.
func queuedBytes(c net.Conn, request uint) (n int) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { // fails on a connection that the node has closed
		if queued, err := unix.IoctlGetInt(int(fd), request); err == nil {
			n = queued
		}
	})
	return n
}
