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

// onDescriptor calls f with the descriptor of a connection's socket. It does nothing if the connection has none, or the
// node has closed it.
func onDescriptor(c net.Conn, f func(descriptor int)) {
	connection, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { f(int(descriptor)) })
}

// peerState reports whether the peer has closed a connection or shut down its sending direction, and how many bytes
// that it has sent are unread. A connection that the node has closed counts as closed by its peer.
func peerState(c net.Conn) (state guard.ClientState, unread int) {
	state = guard.ClientClosed
	onDescriptor(c, func(descriptor int) {
		state = pollPeer(int32(descriptor))
		unread = queueLength(descriptor, unix.TIOCINQ)
	})
	return state, unread
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
	onDescriptor(c, func(descriptor int) {
		n, _, err := syscall.Recvfrom(descriptor, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}

// readAvailable reads the bytes that the kernel holds, without waiting for more. It returns 0 if there are none.
func readAvailable(c net.Conn, b []byte) (n int) {
	onDescriptor(c, func(descriptor int) { n, _ = syscall.Read(descriptor, b) })
	return max(n, 0)
}

// writeAvailable writes as much of a text as the kernel takes without waiting, and ignores errors.
func writeAvailable(c net.Conn, text string) {
	onDescriptor(c, func(descriptor int) { _, _ = syscall.Write(descriptor, []byte(text)) })
}

// sinceLastBytes returns how long ago the kernel received the last bytes on a connection, with a precision of a few
// milliseconds; 0 if unknown.
func sinceLastBytes(c net.Conn) (ago time.Duration) {
	onDescriptor(c, func(descriptor int) {
		if info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
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

// queuedBytes returns the length of a queue of a connection's socket; 0 if unknown.
func queuedBytes(c net.Conn, request uint) (n int) {
	onDescriptor(c, func(descriptor int) { n = queueLength(descriptor, request) })
	return n
}

// queueLength returns the length of a queue of a socket, which the request for ioctl(2) names; 0 if unknown.
func queueLength(descriptor int, request uint) int {
	length, err := unix.IoctlGetInt(descriptor, request)
	if err != nil {
		return 0
	}
	return length
}
