// Transient errors of the operating system, and the retries after them.

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
	startRetryPeriod   = 5 * time.Second // how long a starting process retries when system resources are short
	startRetryInterval = 50 * time.Millisecond

	minAcceptBackoff = 5 * time.Millisecond // after an accept failed for lack of memory or descriptors
	maxAcceptBackoff = 100 * time.Millisecond
)

// shortageErrnos are the errors by which the system reports a temporary shortage of a resource.
var shortageErrnos = []syscall.Errno{
	syscall.EINTR,
	syscall.EAGAIN,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
}

// isShortage reports whether an error is a temporary shortage, so that the same system call may succeed a moment later.
func isShortage(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(shortageErrnos, errno)
}

// unusableListenerErrnos are the errors of accept(2) that make the listener unusable. All others are temporary, or
// concern only the connection that was being accepted.
var unusableListenerErrnos = []syscall.Errno{syscall.EBADF, syscall.ENOTSOCK, syscall.EINVAL, syscall.EFAULT}

// isFatalAcceptError reports whether no further accept can succeed.
func isFatalAcceptError(err error) bool {
	var errno syscall.Errno
	return errors.Is(err, net.ErrClosed) || errors.As(err, &errno) && slices.Contains(unusableListenerErrnos, errno)
}

// RetryOnShortage calls open until it succeeds or fails with an error that isShortage does not report, for at most
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
