package handover

import (
	"bufio"
	"io"
	"net"
	"time"

	"keelusher/internal/lifecycle"
)

// Messages besides the announcement that the successor serves. A predecessor of an older build takes exchangeRequested
// for another announcement and returns it, which tells the successor that there is no exchange.
const (
	serving           = 1
	exchangeRequested = 2 // successor to predecessor: from now on each side sends frames
	exchangeBegins    = 3 // predecessor to successor: it does, and expects them
)

// A frame of the exchange is the ID of a request, after its length in one byte, or eventFrame and the event of an
// operator in one byte.
const (
	eventFrame  = 0
	maxIDLength = 255 // longer IDs are not shared

	drainEvent  = 1
	resumeEvent = 2
)

const (
	queuedFrames      = 256 // that wait to be sent; further ones are not shared
	frameWriteTimeout = time.Second
)

// Shared receives what the other process of the node shares.
type Shared struct {
	OnID    func(id string)        // of a request that may run there, and must not run again
	OnEvent func(lifecycle.Event)  // Drain or Resume, by which an operator has called that process
	Known   func() (ids []string)  // what this process has to share from before
	Phase   func() lifecycle.Phase // of this process
}

// idFrame returns the frame of an ID; nil if the ID is too long.
func idFrame(id string) []byte {
	if id == "" || len(id) > maxIDLength {
		return nil
	}
	return append([]byte{byte(len(id))}, id...)
}

// frameOfEvent returns the frame of an operator's event; nil for other events.
func frameOfEvent(event lifecycle.Event) []byte {
	switch event {
	case lifecycle.Drain:
		return []byte{eventFrame, drainEvent}
	case lifecycle.Resume:
		return []byte{eventFrame, resumeEvent}
	}
	return nil
}

// frameSender sends frames to the other process. Its goroutine ends with stop, or when a write fails.
type frameSender struct {
	conn    net.Conn
	queue   chan []byte
	stopped chan struct{}
}

// startFrameSender starts a sender, which sends the given frames first.
func startFrameSender(conn net.Conn, first [][]byte) *frameSender {
	s := &frameSender{
		conn:    conn,
		queue:   make(chan []byte, queuedFrames),
		stopped: make(chan struct{}),
	}
	go s.run(first)
	return s
}

// send queues a frame. It never blocks, and drops the frame if it is nil or too many wait.
func (s *frameSender) send(frame []byte) {
	if s == nil || frame == nil {
		return
	}
	select {
	case s.queue <- frame:
	default:
	}
}

func (s *frameSender) stop() { close(s.stopped) }

func (s *frameSender) run(first [][]byte) {
	for _, frame := range first {
		if !s.write(frame) {
			return
		}
	}
	for {
		select {
		case frame := <-s.queue:
			if !s.write(frame) {
				return
			}
		case <-s.stopped:
			return
		}
	}
}

// write sends one frame and reports whether that succeeded. After a failure the reader of the connection finds its end.
func (s *frameSender) write(frame []byte) bool {
	if err := s.conn.SetWriteDeadline(time.Now().Add(frameWriteTimeout)); err != nil {
		return false
	}
	_, err := s.conn.Write(frame)
	return err == nil
}

// receive passes on what the other process shares, until the connection ends.
func (s Shared) receive(r *bufio.Reader) {
	for frame := make([]byte, maxIDLength); ; {
		length, err := r.ReadByte()
		if err != nil {
			return
		}
		size := max(1, int(length)) // the frame of an event has one byte more
		if _, err := io.ReadFull(r, frame[:size]); err != nil {
			return
		}
		switch {
		case length != eventFrame:
			s.OnID(string(frame[:size]))
		case frame[0] == drainEvent:
			s.OnEvent(lifecycle.Drain)
		case frame[0] == resumeEvent:
			s.OnEvent(lifecycle.Resume)
		}
	}
}

// firstFrames returns what a predecessor shares from before: the known IDs, and what an operator has changed since the
// phase was handed over.
func (s Shared) firstFrames(handedOver lifecycle.Phase) [][]byte {
	var frames [][]byte
	switch phase := s.Phase(); {
	case phase == lifecycle.Drained && handedOver != lifecycle.Drained:
		frames = append(frames, frameOfEvent(lifecycle.Drain))
	case phase == lifecycle.Serving && handedOver == lifecycle.Drained:
		frames = append(frames, frameOfEvent(lifecycle.Resume))
	}
	for _, id := range s.Known() {
		if frame := idFrame(id); frame != nil {
			frames = append(frames, frame)
		}
	}
	return frames
}
