package handover

import (
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"keelusher/internal/lifecycle"
)

// canTakeOver reports whether a successor gets the listener.
func canTakeOver(path string) bool {
	p, err := Connect(path)
	if p == nil || err != nil {
		return false
	}
	p.Close()
	return p.Listener.Close() == nil
}

// A hand-over socket that cannot be bound is tried again: a node may live for months before its next version comes.
func TestHandoverAfterFailedBind(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "later")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	path := filepath.Join(dir, "s")
	server := NewServer(Config{
		Path:            path,
		Log:             slog.New(slog.DiscardHandler),
		Listener:        ln.(syscall.Conn),
		Phase:           func() lifecycle.Phase { return lifecycle.Serving },
		ChangeProcesses: func(int) {},
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.Serve(ctx)
	}()
	time.Sleep(50 * time.Millisecond) // the first bind fails meanwhile; if not, the test shows less
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); !canTakeOver(path); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no successor gets the listener")
		}
	}
	stop()
	<-ended
}
