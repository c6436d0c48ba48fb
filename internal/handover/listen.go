package handover

import (
	"context"
	"net"
	"syscall"
)

// sockoptReusePort is SO_REUSEPORT on Linux, which package syscall lacks.
const sockoptReusePort = 0xf

// Listen listens where a process that could not hand over may listen too.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(descriptor uintptr) {
			// Where the system has no such option, the address is not shared.
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, sockoptReusePort, 1)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}
