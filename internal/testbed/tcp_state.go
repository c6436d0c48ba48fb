package testbed

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	resetTimeout = 20 * time.Millisecond // on loopback a reset because of unread bytes arrives at once
	tcpClosed    = 7                     // TCP_CLOSE, the state after a received reset
)

// peerReadAll reports whether the peer of a connection, which has sent its FIN, had read all bytes that were sent to
// it. The kernel sends a reset if a socket is closed with unread bytes, or if bytes arrive for a closed socket; so the
// peer had read all of them if no reset follows the FIN. The result is valid only if the connection has no proxy
// of the test bed in between.
func peerReadAll(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	for end := time.Now().Add(resetTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		var info *unix.TCPInfo
		err := rc.Control(func(fd uintptr) {
			info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) // on an error State is 0
		})
		if err != nil || info == nil || info.State == tcpClosed {
			return false
		}
	}
	return true
}

// acceptQueueFull reports whether the kernel drops new connections to a listener because its accept queue is full.
func acceptQueueFull(listener *net.TCPListener) (full bool) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) { // fails only on a closed listener
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		full = err == nil && info.Unacked > info.Sacked // of a listener: the queue's length, and its backlog
	})
	return full
}
