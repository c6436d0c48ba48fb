package handover

import (
	"bufio"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"keelusher/internal/lifecycle"
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

// A predecessor of an older build returns every byte. It must not be sent frames, which it would take for
// announcements, and what it returns must not be taken for frames.
func TestNothingIsSharedWithAnOlderPredecessor(t *testing.T) {
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
		p.Follow(func() { acknowledged <- struct{}{} }, Shared{
			OnID:    func(id string) { t.Errorf("got the ID %q from an older build", id) },
			OnEvent: func(event lifecycle.Event) { t.Errorf("got the event %d from an older build", event) },
		})
	}()
	p.AnnounceServing()
	<-acknowledged
	if first, second := <-received, <-received; first != serving || second != exchangeRequested {
		t.Errorf("the predecessor got the messages %d and %d, want %d and %d", first, second, serving, exchangeRequested)
	}
	p.ShareID("1")
	p.ShareEvent(lifecycle.Drain)
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

// Frames arrive unchanged and in order, what is known from before first: IDs of any length that fits, and the calls of
// operators. An ID that does not fit must not disturb the others.
func TestFramesArrive(t *testing.T) {
	sending, receiving := connectedPair(t)
	longest, tooLong := strings.Repeat("x", maxIDLength), strings.Repeat("x", maxIDLength+1)
	phase := lifecycle.Drained
	known := Shared{
		Known: func() []string { return []string{"known", tooLong} },
		Phase: func() lifecycle.Phase { return phase },
	}
	sender := startFrameSender(sending, known.firstFrames(lifecycle.Serving))
	defer sender.stop()
	sender.send(idFrame(longest))
	sender.send(idFrame(tooLong))
	sender.send(frameOfEvent(lifecycle.Resume))
	sender.send(frameOfEvent(lifecycle.Shutdown)) // not an operator's
	sender.send(idFrame("last"))
	got := make(chan string, 10)
	shared := Shared{
		OnID: func(id string) { got <- id },
		OnEvent: func(event lifecycle.Event) {
			got <- map[lifecycle.Event]string{lifecycle.Drain: "drain", lifecycle.Resume: "resume"}[event]
		},
	}
	go shared.receive(bufio.NewReader(receiving)) // ends with the connection
	for _, want := range []string{"drain", "known", longest, "resume", "last"} {
		select {
		case frame := <-got:
			if frame != want {
				t.Errorf("got %q, want %q", frame, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("did not get %q within 5s", want)
		}
	}
	phase = lifecycle.Serving
	if frames := known.firstFrames(lifecycle.Serving); len(frames) != 1 {
		t.Errorf("%d frames for a phase that has not changed, want that of the known ID alone", len(frames))
	}
}
