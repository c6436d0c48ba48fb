//go:build linux && amd64

package shim

import "syscall"

// socketKind is how the traced program obtained a descriptor. It determines which calls on the descriptor may fail.
type socketKind int

const (
	noSocket  socketKind = iota
	created              // returned by socket(2), such as a connection to a server
	accepted             // returned by accept: from a client, which must get an answer, so read and write never fail
	listening            // returned by socket(2), with listen(2) called on it
)

// fault describes a system call that can be made to fail. The errors are documented in the call's manual page and mean
// that the call had no effect.
type fault struct {
	name    string
	sockets []socketKind // kinds of the descriptor in the first argument for which it can fail; nil: any
	errors  []syscall.Errno
}

// faults holds the calls that can fail, by system call number.
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
	syscall.SYS_READ: {"read", []socketKind{created}, []syscall.Errno{
		syscall.ECONNRESET,
		syscall.ETIMEDOUT,
		syscall.ENOMEM,
		syscall.EHOSTUNREACH,
	}},
	syscall.SYS_WRITE: {"write", []socketKind{created}, []syscall.Errno{
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

const epollAdd = 1 // EPOLL_CTL_ADD; only additions fail, as programs do not expect removals to fail

// canFail reports whether a system call with this number, kind of descriptor in the first argument and second argument
// may be made to fail, and returns its fault.
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
