package testbed

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	resetWithin = 20 * time.Millisecond // on loopback the reset that follows unread bytes comes at once
	tcpClosed   = 7                     // TCP_CLOSE: a reset has come
)

// peerReadAll reports of a connection whose peer has ended its sending that no reset followed: a system that closes a
// socket over unread bytes, or gets bytes for one that is closed, answers with a reset. So the peer has read them.
// It is valid only for connections without a proxy of the testbed in between.
func peerReadAll(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	for end := time.Now().Add(resetWithin); time.Now().Before(end); time.Sleep(time.Millisecond) {
		var info *unix.TCPInfo
		err := rc.Control(func(fd uintptr) {
			info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) // on an error the state is zero
		})
		if err != nil || info == nil || info.State == tcpClosed {
			return false
		}
	}
	return true
}
