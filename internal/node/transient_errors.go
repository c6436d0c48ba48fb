// Errors of the operating system that pass by themselves, and the retries after them.

package node

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	startRetryPeriod   = 5 * time.Second // for the system to provide what a start needs
	startRetryInterval = 50 * time.Millisecond

	minAcceptBackoff = 5 * time.Millisecond // after an accept that lacked memory or descriptors
	maxAcceptBackoff = 100 * time.Millisecond
)

// shortageErrnos are the errors by which the system reports a temporary lack of some resource.
var shortageErrnos = []syscall.Errno{
	syscall.EINTR,
	syscall.EAGAIN,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
}

// isShortage reports whether the same system call may succeed a moment later.
func isShortage(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(shortageErrnos, errno)
}

// unusableListenerErrnos are the errors of accept(2) that concern the listener itself. All others are temporary, or
// concern only the connection that was about to be accepted.
var unusableListenerErrnos = []syscall.Errno{syscall.EBADF, syscall.ENOTSOCK, syscall.EINVAL, syscall.EFAULT}

// endsListener reports whether no further accept can succeed.
func endsListener(err error) bool {
	var errno syscall.Errno
	return errors.Is(err, net.ErrClosed) || errors.As(err, &errno) && slices.Contains(unusableListenerErrnos, errno)
}

// RetryOnShortage calls open until it succeeds or fails with an error that is no shortage of the system's, for
// startRetryPeriod or until ctx ends. It returns the last result of open.
func RetryOnShortage[T any](ctx context.Context, open func() (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, startRetryPeriod)
	defer cancel()
	for {
		opened, err := open()
		if err == nil || !isShortage(err) {
			return opened, err
		}
		select {
		case <-time.After(startRetryInterval):
		case <-ctx.Done():
			return opened, err
		}
	}
}
