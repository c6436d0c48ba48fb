// What the system knows of a connection's socket, asked for without waiting.

package node

import (
	"net"
	"syscall"
	"time"

	"keelusher/policy/guard"

	"golang.org/x/sys/unix"
)

const maxPollAttempts = 3 // poll(2) may be interrupted, or lack memory for a moment

// peerState tells whether the peer has closed a connection or ended its sending.
func peerState(c net.Conn) guard.ClientState {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return guard.ClientConnected // a connection without a descriptor to ask
	}
	state := guard.ClientStateUnknown
	err = raw.Control(func(fd uintptr) { state = pollPeer(int32(fd)) })
	if err != nil { // closed by this side
		return guard.ClientClosed
	}
	return state
}

// pollPeer is peerState for a descriptor.
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

// hasUnreadBytes reports whether received bytes wait in the system.
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

// readAvailable reads what waits in the system, which may be nothing.
func readAvailable(c net.Conn, b []byte) (n int) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	err = raw.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), b) })
	if err != nil { // closed by this side
		return 0
	}
	return max(n, 0)
}

// sinceLastBytes is how long ago the system received the last bytes on a connection, to a few milliseconds; 0 if that
// is unknown.
func sinceLastBytes(c net.Conn) (ago time.Duration) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { // fails on a connection that this side has closed
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return ago
}
