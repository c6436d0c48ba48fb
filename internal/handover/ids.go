package handover

import (
	"bufio"
	"io"
	"net"
	"time"
)

// Messages besides the announcement that the successor serves. A predecessor of an older build takes idsRequested for
// another announcement and returns it, which tells the successor that no IDs will follow.
const (
	serving      = 1
	idsRequested = 2 // successor to predecessor: from now on each side sends IDs
	idsFollow    = 3 // predecessor to successor: it does, and expects them
)

const (
	// maxIDLength is the length of an ID that one byte can announce. Longer ones are not shared.
	maxIDLength = 255

	queuedIDs      = 256 // that wait to be sent; further ones are not shared
	idWriteTimeout = time.Second
)

// idSender sends the IDs of requests to the other process, each as its length in one byte and its text. Its goroutine
// ends with stop, or when a write fails.
type idSender struct {
	conn    net.Conn
	queue   chan string
	stopped chan struct{}
}

// startIDSender starts a sender, which first sends the given IDs.
func startIDSender(conn net.Conn, known []string) *idSender {
	s := &idSender{
		conn:    conn,
		queue:   make(chan string, queuedIDs),
		stopped: make(chan struct{}),
	}
	go s.run(known)
	return s
}

// send queues an ID. It never blocks, and ignores the ID if too many wait.
func (s *idSender) send(id string) {
	if s == nil || len(id) > maxIDLength {
		return
	}
	select {
	case s.queue <- id:
	default:
	}
}

func (s *idSender) stop() { close(s.stopped) }

func (s *idSender) run(known []string) {
	for _, id := range known {
		if !s.write(id) {
			return
		}
	}
	for {
		select {
		case id := <-s.queue:
			if !s.write(id) {
				return
			}
		case <-s.stopped:
			return
		}
	}
}

// write sends one ID and reports whether that succeeded. After a failure the reader of the connection finds its end.
func (s *idSender) write(id string) bool {
	if len(id) > maxIDLength {
		return true
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(idWriteTimeout)); err != nil {
		return false
	}
	_, err := s.conn.Write(append([]byte{byte(len(id))}, id...))
	return err == nil
}

// receiveIDs calls onID for each ID that the other process sends, until the connection ends.
func receiveIDs(r *bufio.Reader, onID func(id string)) {
	for id := make([]byte, maxIDLength); ; {
		length, err := r.ReadByte()
		if err != nil {
			return
		}
		if _, err := io.ReadFull(r, id[:length]); err != nil {
			return
		}
		onID(string(id[:length]))
	}
}
