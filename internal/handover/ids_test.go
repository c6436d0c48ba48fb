package handover

import (
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// connectedPair returns the two ends of a connection over a Unix socket.
func connectedPair(t *testing.T) (a, b *net.UnixConn) {
	t.Helper()
	listener, err := net.Listen("unix", filepath.Join(t.TempDir(), "s"))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("unix", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		dialed.Close()
		accepted.Close()
	})
	return dialed.(*net.UnixConn), accepted.(*net.UnixConn)
}

// A predecessor of an older build returns every byte. It must not be sent IDs, which it would take for announcements,
// and what it returns must not be taken for IDs.
func TestNoIDsAreSharedWithAnOlderPredecessor(t *testing.T) {
	conn, older := connectedPair(t)
	received := make(chan byte, 10)
	go func() { // ends with the connection
		message := make([]byte, 1)
		for {
			if _, err := older.Read(message); err != nil {
				return
			}
			received <- message[0]
			_, _ = older.Write(message)
		}
	}()
	p := &Predecessor{conn: conn}
	acknowledged := make(chan struct{}, 10)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.Follow(func() { acknowledged <- struct{}{} }, func(id string) { t.Errorf("got the ID %q from an older build", id) })
	}()
	p.AnnounceServing()
	<-acknowledged
	if first, second := <-received, <-received; first != serving || second != idsRequested {
		t.Errorf("the predecessor got the messages %d and %d, want %d and %d", first, second, serving, idsRequested)
	}
	p.ShareID("1")
	select {
	case message := <-received:
		t.Errorf("the predecessor got another message, %d, want none", message)
	case <-acknowledged:
		t.Error("the returned request counts as an acknowledgment")
	case <-time.After(50 * time.Millisecond):
	}
	p.Close()
	<-ended
}

// IDs of any length that fits arrive unchanged and in order, those that are known from before first. One that does not
// fit must not disturb the others.
func TestIDsArrive(t *testing.T) {
	sending, receiving := connectedPair(t)
	longest, tooLong := strings.Repeat("x", maxIDLength), strings.Repeat("x", maxIDLength+1)
	sender := startIDSender(sending, []string{"known", tooLong})
	defer sender.stop()
	sender.send(longest)
	sender.send(tooLong)
	sender.send("last")
	for _, want := range []string{"known", longest, "last"} {
		length := make([]byte, 1)
		if _, err := io.ReadFull(receiving, length); err != nil {
			t.Fatal(err)
		}
		id := make([]byte, length[0])
		if _, err := io.ReadFull(receiving, id); err != nil || string(id) != want {
			t.Errorf("got the ID %q, error %v, want %q", id, err, want)
		}
	}
}
