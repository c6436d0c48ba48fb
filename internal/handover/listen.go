package handover

import (
	"context"
	"net"
	"syscall"
)

// sockoptReusePort is SO_REUSEPORT on Linux, which package syscall lacks.
const sockoptReusePort = 0xf

// Listen opens a TCP listener with SO_REUSEPORT, so that it also succeeds while an older process that could not hand
// over its listener still listens on the address.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(descriptor uintptr) {
			// The error is ignored: without the option the listener works, but cannot share its address.
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, sockoptReusePort, 1)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}
