package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"keelusher/internal/metrics"
)

// faultyListener is a listener whose first calls of Accept fail with system errors.
type faultyListener struct {
	net.Listener
	errors chan error
	failed atomic.Int64
}

func newFaultyListener(t *testing.T, errnos ...syscall.Errno) *faultyListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	l := &faultyListener{Listener: ln, errors: make(chan error, len(errnos))}
	for _, errno := range errnos {
		l.errors <- &net.OpError{Op: "accept", Net: "tcp", Addr: ln.Addr(), Err: os.NewSyscallError("accept4", errno)}
	}
	return l
}

func (l *faultyListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errors:
		l.failed.Add(1)
		return nil, err
	default:
		return l.Listener.Accept()
	}
}

// SyscallConn returns the raw connection, by which the node passes the listener to its successor.
func (l *faultyListener) SyscallConn() (syscall.RawConn, error) {
	return l.Listener.(syscall.Conn).SyscallConn()
}

// acceptErrors are the errors documented for accept(2), except those of an unusable listener.
var acceptErrors = []syscall.Errno{syscall.EAGAIN, syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EPROTO, syscall.ENOSR, syscall.ETIMEDOUT, syscall.ENETDOWN,
	syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH}

// respondsOK returns a function that reports whether a URL is answered with 200 on a new connection.
func respondsOK(url string) func() bool {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return func() bool {
		resp, err := client.Get(url)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK
	}
}

// Guards against a node that stops because an accept fails, on the listener for clients or on the admin endpoint.
func TestFailedAcceptsDoNotEndTheNode(t *testing.T) {
	for _, errno := range acceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			clients, operators := newFaultyListener(t, errno, errno), newFaultyListener(t, errno, errno)
			cfg := testConfig(t, "pushed", inService("s-0", newBackend(t, serveOK).addr()))
			cfg.Discovery = silentDiscovery(t)
			n, err := New(cfg, discardLogger())
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- n.serve(ctx, clients, operators, nil) }()
			for _, at := range []string{clients.Addr().String() + "/ready", operators.Addr().String() + "/control/ready"} {
				served := respondsOK("http://" + at)
				eventually(t, at+" is served, or the node has stopped", func() bool { return len(ended) > 0 || served() })
			}
			if clients.failed.Load() != 2 || operators.failed.Load() != 2 {
				t.Errorf("failed accepts: clients %d, operators %d, want 2 each", clients.failed.Load(), operators.failed.Load())
			}
			stop()
			if err := <-ended; err != nil {
				t.Errorf("the node stopped with %v, want no error", err)
			}
		})
	}
}

// Accept returns when its listener is unusable, and when the listener is closed during the backoff after an error.
func TestAcceptReturnsOnFatalErrorOrClose(t *testing.T) {
	faulty := newFaultyListener(t, syscall.EBADF)
	broken := newLimitedListener(faulty, 1, metrics.NewRecorder(nil), metrics.NewDecisions(discardLogger()))
	if _, err := broken.Accept(); !errors.Is(err, syscall.EBADF) {
		t.Errorf("accept on a bad descriptor: %v, want EBADF", err)
	}
	failing := newFaultyListener(t, slices.Repeat([]syscall.Errno{syscall.ENOMEM}, 10_000)...)
	closed := newLimitedListener(failing, 1, metrics.NewRecorder(nil), metrics.NewDecisions(discardLogger()))
	ended := make(chan error, 1)
	go func() {
		_, err := closed.Accept()
		ended <- err
	}()
	eventually(t, "an accept has failed", func() bool { return failing.failed.Load() > 0 })
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept on a listener closed during the backoff: %v, want net.ErrClosed", err)
	}
}

// RetryOnShortage retries after a shortage of system resources, but neither after a permanent error nor once its
// context is canceled.
func TestRetryOnShortage(t *testing.T) {
	calls := 0
	opens := func(errs ...error) func() (int, error) {
		calls = 0
		return func() (int, error) {
			calls++
			if calls <= len(errs) {
				return 0, errs[calls-1]
			}
			return 7, nil
		}
	}
	shortage := &net.OpError{Op: "listen", Err: os.NewSyscallError("socket", syscall.ENOBUFS)}
	got, err := RetryOnShortage(t.Context(), opens(shortage, shortage))
	if got != 7 || err != nil || calls != 3 {
		t.Errorf("after two shortages: result %d, %v in %d calls, want 7 in 3", got, err, calls)
	}
	if _, err := RetryOnShortage(t.Context(), opens(syscall.EACCES)); !errors.Is(err, syscall.EACCES) || calls != 1 {
		t.Errorf("after a permanent error: %v in %d calls, want EACCES in 1", err, calls)
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := RetryOnShortage(canceled, opens(shortage)); !errors.Is(err, shortage) {
		t.Errorf("with a canceled context: %v, want the shortage", err)
	}
}
