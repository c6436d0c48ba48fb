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

// canTakeOver reports whether a successor receives the listener.
func canTakeOver(path string) bool {
	p, err := Connect(path)
	if p == nil || err != nil {
		return false
	}
	p.Close()
	return p.Listener.Close() == nil
}

// The node has to retry a failed bind of its hand-over socket; here the bind fails because the directory is missing.
// Otherwise the next upgrade, perhaps months later, would have no hand-over.
func TestHandoverAfterFailedBind(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "later")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	path := filepath.Join(dir, "s")
	server := NewServer(Config{
		Path:                 path,
		Log:                  slog.New(slog.DiscardHandler),
		Listener:             ln.(syscall.Conn),
		Phase:                func() lifecycle.Phase { return lifecycle.Serving },
		OnProcessCountChange: func(int) {},
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.Serve(ctx)
	}()
	time.Sleep(50 * time.Millisecond) // for the first bind to fail; if it has not run by then, the test proves less
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); !canTakeOver(path); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no successor got the listener within 20 s")
		}
	}
	stop()
	<-ended
}
