//go:build linux && amd64

package shim

import "syscall"

// socketKind is how a program came to a descriptor.
type socketKind int

const (
	noSocket  socketKind = iota
	made                 // by socket: it listens, or is connected to a server
	accepted             // from a client, which must get an answer: its calls are only interrupted
	listening            // made, and listens
)

// fault is a call that can fail, on which sockets, and how it can: errors that the call's manual page has, and that
// leave the call without any effect.
type fault struct {
	name    string
	sockets []socketKind // of the descriptor in the first argument; nil: any
	errors  []syscall.Errno
}

var faults = map[uint64]fault{
	syscall.SYS_ACCEPT4: {"accept4", []socketKind{listening}, []syscall.Errno{
		syscall.ENOBUFS,
		syscall.ENOMEM,
		syscall.EPROTO,
		syscall.EPERM,
		syscall.ECONNABORTED,
		syscall.ENETDOWN,
		syscall.EMFILE,
		syscall.ENFILE,
		syscall.EINTR,
		syscall.EHOSTUNREACH,
	}},
	syscall.SYS_SOCKET: {"socket", nil, []syscall.Errno{
		syscall.EMFILE,
		syscall.ENFILE,
		syscall.ENOBUFS,
		syscall.ENOMEM,
	}},
	syscall.SYS_CONNECT: {"connect", nil, []syscall.Errno{
		syscall.EADDRNOTAVAIL,
		syscall.ECONNREFUSED,
		syscall.ENETUNREACH,
		syscall.ETIMEDOUT,
	}},
	syscall.SYS_READ: {"read", []socketKind{made}, []syscall.Errno{
		syscall.ECONNRESET,
		syscall.ETIMEDOUT,
		syscall.ENOMEM,
		syscall.EHOSTUNREACH,
	}},
	syscall.SYS_WRITE: {"write", []socketKind{made}, []syscall.Errno{
		syscall.EPIPE,
		syscall.ECONNRESET,
		syscall.ENOBUFS,
		syscall.ENOMEM,
	}},
	syscall.SYS_EPOLL_CTL:  {"epoll_ctl", nil, []syscall.Errno{syscall.ENOMEM, syscall.ENOSPC}},
	syscall.SYS_SETSOCKOPT: {"setsockopt", nil, []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM}},
	syscall.SYS_GETSOCKOPT: {"getsockopt", nil, []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM}},
	syscall.SYS_POLL:       {"poll", nil, []syscall.Errno{syscall.EINTR, syscall.ENOMEM}},
	syscall.SYS_RECVFROM:   {"recvfrom", nil, []syscall.Errno{syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS}},
	syscall.SYS_OPENAT:     {"openat", nil, []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EIO, syscall.EINTR}},
}

const epollAdd = 1 // EPOLL_CTL_ADD; a program does not expect removals to fail

// canFail reports whether a call may be failed.
func canFail(number uint64, kind socketKind, second uint64) (fault, bool) {
	f, ok := faults[number]
	if !ok || number == syscall.SYS_EPOLL_CTL && second != epollAdd {
		return f, false
	}
	if f.sockets == nil {
		return f, true
	}
	for _, k := range f.sockets {
		if k == kind {
			return f, true
		}
	}
	return f, false
}
