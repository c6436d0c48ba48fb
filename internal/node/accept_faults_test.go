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
)

// faultyListener fails its next calls of Accept with errors of the system's, then accepts as ever.
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

// SyscallConn lets the node hand the listener over.
func (l *faultyListener) SyscallConn() (syscall.RawConn, error) {
	return l.Listener.(syscall.Conn).SyscallConn()
}

// acceptErrors are what accept(2) documents, but for those that say that the listener itself is unusable.
var acceptErrors = []syscall.Errno{syscall.EAGAIN, syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EPROTO, syscall.ENOSR, syscall.ETIMEDOUT, syscall.ENETDOWN,
	syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH}

// serves says whether a path is answered with 200 on a new connection.
func serves(url string) func() bool {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return func() bool {
		resp, err := client.Get(url)
		if err != nil {
			return false
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
}

// No failed accept ends the node, on the clients' listener or on the operators'.
func TestFailedAcceptsDoNotEndTheNode(t *testing.T) {
	for _, errno := range acceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			clients, operators := newFaultyListener(t, errno, errno), newFaultyListener(t, errno, errno)
			cfg := testConfig(t, "pushed", inService("s-0", newBackend(t, ok).addr()))
			cfg.Discovery = silentDiscovery(t)
			n, err := New(cfg, quiet())
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- n.serve(ctx, clients, operators, nil) }()
			for _, at := range []string{clients.Addr().String() + "/ready", operators.Addr().String() + "/control/ready"} {
				served := serves("http://" + at)
				eventually(t, at+" is served, or the node has ended", func() bool { return len(ended) > 0 || served() })
			}
			if clients.failed.Load() != 2 || operators.failed.Load() != 2 {
				t.Errorf("%d and %d accepts failed, want 2 of each", clients.failed.Load(), operators.failed.Load())
			}
			stop()
			if err := <-ended; err != nil {
				t.Errorf("the node ended with %v", err)
			}
		})
	}
}

// A listener that is none any more ends the accepting, and so does its close while the node waits for the system.
func TestAcceptingEnds(t *testing.T) {
	broken := newLimitedListener(newFaultyListener(t, syscall.EBADF), 1, newMetrics(nil), newDecisions(quiet()))
	if _, err := broken.Accept(); !errors.Is(err, syscall.EBADF) {
		t.Errorf("a listener without a descriptor: %v", err)
	}
	failing := newFaultyListener(t, slices.Repeat([]syscall.Errno{syscall.ENOMEM}, 10_000)...)
	closed := newLimitedListener(failing, 1, newMetrics(nil), newDecisions(quiet()))
	ended := make(chan error, 1)
	go func() {
		_, err := closed.Accept()
		ended <- err
	}()
	eventually(t, "it waits", func() bool { return failing.failed.Load() > 0 })
	closed.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("closed while it waits: %v", err)
	}
}

// What a start needs is asked for again while the system lacks something, and not where the error stays.
func TestPatiently(t *testing.T) {
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
	lacking := &net.OpError{Op: "listen", Err: os.NewSyscallError("socket", syscall.ENOBUFS)}
	if got, err := Patiently(t.Context(), opens(lacking, lacking)); got != 7 || err != nil || calls != 3 {
		t.Errorf("after two shortages: %d, %v, %d calls", got, err, calls)
	}
	if _, err := Patiently(t.Context(), opens(syscall.EACCES)); err != syscall.EACCES || calls != 1 {
		t.Errorf("where it may not: %v, %d calls", err, calls)
	}
	over, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Patiently(over, opens(lacking)); err != lacking {
		t.Errorf("as the process is told to stop: %v", err)
	}
}
