package inbound

import (
	"bytes"
	"cmp"
	"sync"
	"time"
)

const (
	// MaxHead is the limit on the size of a request's head: the request line and the headers.
	MaxHead = 16 << 10

	// headSlack is the number of bytes that net/http reads of a head beyond its limit, before it rejects the head.
	headSlack = 4 << 10

	// maxChunkedRead limits what is read at once of a chunked body, and so what is held back of the bytes behind it.
	maxChunkedRead = 4 << 10

	// backgroundReadSize is the size of the read by which net/http notices a disconnect while it serves a request. It
	// makes a read of this size only after it has read the whole request.
	backgroundReadSize = 1
)

// framerPhase says which part of a request is expected next from the client, or passed next to the HTTP server.
type framerPhase int

const (
	phaseHead     framerPhase = iota // the head is arriving, and nothing of it is passed
	phasePassHead                    // the head is complete and is being passed
	phaseBody                        // the body, if there is one, is passed as it arrives
	phaseTooLong                     // the head exceeds its limit: all bytes are passed, and rejected
)

// Framer divides the bytes of a client's connection into requests. It passes the head of a request to the HTTP server
// only once the head is complete, and no byte beyond the request that the server is reading: what the server would read
// ahead into its own buffer, nobody could tell from the request before it any more. The zero value expects the first
// request of a connection. It is safe for concurrent use, since the HTTP server also reads in the background.
type Framer struct {
	// MaxHead is the HTTP server's limit on the size of a head; 0 stands for the constant MaxHead.
	MaxHead int

	mu        sync.Mutex
	phase     framerPhase
	startedAt time.Time // when the first byte of the head arrived
	head      []byte    // from the first byte of the head on, until it has been passed
	passed    int       // number of bytes of head that have been passed
	held      []byte    // bytes that have arrived after head, and have not been passed yet
	headSize  int       // of the head so far, or of the one that was passed last
	headLines int

	// Of the request whose head was completed last.
	framing    framing
	remaining  int64 // bytes of a body with a Content-Length that have not been passed yet
	afterLine  bool  // the last byte of a chunked body that was passed ends a line
	background bool  // head holds the byte that was passed to a background read
}

// Next moves bytes that have arrived before to b, as far as the server may have them, and returns their number.
func (f *Framer) Next(b []byte) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next(b)
}

// ReadLimit returns how many bytes may be read from the connection into a buffer of the given size; 0 if the server
// reads beyond the end of a request.
func (f *Framer) ReadLimit(size int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.phase != phaseBody || f.isBackgroundRead(size):
		return size
	case f.framing.chunked:
		return min(size, maxChunkedRead)
	}
	return int(min(int64(size), f.remaining))
}

// IsBackgroundRead reports whether a read with a buffer of the given size only notices a disconnect: the whole request
// has been passed.
func (f *Framer) IsBackgroundRead(size int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.phase == phaseBody && f.isBackgroundRead(size)
}

// Receive records the first n bytes of b, which were read from the connection. It returns how many bytes of b the
// server may have; these need not be the ones that were read.
func (f *Framer) Receive(b []byte, n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case n <= 0 || f.phase == phaseTooLong:
		return n
	case f.phase == phaseBody && !f.framing.chunked && f.remaining > 0: // ReadLimit has kept it to the body
		f.remaining -= int64(n)
		return n
	}
	if f.takeWholeHead(b[:n]) {
		return n
	}
	f.held = append(f.held, b[:n]...)
	return f.next(b)
}

// takeWholeHead records a head that has arrived in one piece with nothing behind it, the usual case, and reports
// whether it was one. The server may then have all of the piece, which is not copied.
func (f *Framer) takeWholeHead(piece []byte) bool {
	if f.phase != phaseHead || len(f.head) > 0 || len(f.held) > 0 || headEnd(piece, 0) != len(piece) {
		return false
	}
	f.startedAt = time.Now()
	f.headSize, f.headLines = len(piece), bytes.Count(piece, []byte("\n"))
	f.endHead(piece)
	f.phase = phaseBody
	return true
}

// endHead records the framing that a complete head announces.
func (f *Framer) endHead(head []byte) {
	f.framing = parseFraming(head)
	f.remaining = f.framing.length
	f.afterLine = true
}

// EndRequest prepares for the next request: the response to the previous one has been written.
func (f *Framer) EndRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase != phaseBody || f.remaining > 0 { // the server has answered a request that it has not read
		f.framing.ambiguous = true
		return
	}
	f.phase = phaseHead
	f.background = false
	f.startedAt = time.Now()
	f.headSize, f.headLines = 0, 0
	f.takeHead()
}

// next is Next for a caller that holds the lock.
func (f *Framer) next(b []byte) int {
	if f.phase == phaseHead {
		f.takeHead()
	}
	switch f.phase {
	case phasePassHead:
		return f.passHead(b)
	case phaseBody:
		return f.passBody(b)
	case phaseTooLong:
		return f.pass(b, len(b))
	}
	return 0
}

// takeHead moves bytes that have arrived to the head, up to its end.
func (f *Framer) takeHead() {
	if len(f.held) == 0 {
		return
	}
	if len(f.head) == 0 {
		f.startedAt = time.Now()
	}
	before := len(f.head)
	f.head = append(f.head, f.held...)
	f.held = nil
	end := headEnd(f.head, max(0, before-len("\n\r"))) // the empty line at the end may span two reads
	if end >= 0 {
		f.held = bytes.Clone(f.head[end:])
		f.head = f.head[:end]
	}
	f.headSize = len(f.head)
	f.headLines += bytes.Count(f.head[min(before, len(f.head)):], []byte("\n"))
	if end >= 0 {
		f.endHead(f.head)
		f.phase = phasePassHead
		return
	}
	if len(f.head) > cmp.Or(f.MaxHead, MaxHead)+headSlack {
		f.held = f.head[f.passed:]
		f.head, f.passed = nil, 0
		f.phase = phaseTooLong
	}
}

// headEnd returns the index after the empty line that ends a head, or -1 if there is none. Empty lines before the
// request line do not end it. The first bytes have been searched before.
func headEnd(text []byte, searched int) int {
	start := len(text) - len(bytes.TrimLeft(text, "\r\n"))
	searched = max(searched, start)
	end := -1
	for _, separator := range [][]byte{[]byte("\n\r\n"), []byte("\n\n")} {
		i := bytes.Index(text[searched:], separator)
		if after := searched + i + len(separator); i >= 0 && (end < 0 || after < end) {
			end = after
		}
	}
	return end
}

// passHead passes bytes of a complete head.
func (f *Framer) passHead(b []byte) int {
	n := copy(b, f.head[f.passed:])
	f.passed += n
	if f.passed == len(f.head) {
		f.head, f.passed = nil, 0
		f.phase = phaseBody
	}
	return n
}

// passBody passes bytes of a body, and not those behind it. A chunked body and each line of its framing end with a line
// feed, and the server asks for more only if the body goes on; so it gets the bytes up to the next line feed.
func (f *Framer) passBody(b []byte) int {
	switch {
	case len(f.held) == 0:
		return 0
	case f.isBackgroundRead(len(b)):
		return f.passAhead(b)
	case !f.framing.chunked:
		n := f.pass(b, int(min(int64(len(b)), f.remaining)))
		f.remaining -= int64(n)
		return n
	}
	lineEnd := bytes.IndexByte(f.held, '\n')
	f.afterLine = lineEnd >= 0 && lineEnd < len(b)
	if f.afterLine {
		return f.pass(b, lineEnd+1)
	}
	return f.pass(b, len(b))
}

// passAhead passes the first byte of the next request to a background read. The head keeps that byte.
func (f *Framer) passAhead(b []byte) int {
	if f.background {
		return 0
	}
	f.head = append(f.head, f.held[0])
	f.passed = f.pass(b, backgroundReadSize)
	f.background = true
	return f.passed
}

// pass moves up to limit bytes from held to b.
func (f *Framer) pass(b []byte, limit int) int {
	n := copy(b[:min(limit, len(b))], f.held)
	f.held = f.held[n:]
	if len(f.held) == 0 {
		f.held = nil
	}
	return n
}

// isBackgroundRead is IsBackgroundRead for phaseBody.
func (f *Framer) isBackgroundRead(size int) bool {
	if size != backgroundReadSize {
		return false
	}
	if f.framing.chunked {
		return f.afterLine
	}
	return f.remaining == 0
}

// Partial reports whether some but not all of a head has arrived.
func (f *Framer) Partial() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.phase == phaseHead && len(f.head) > 0
}

// Started reports whether at least one byte of a request has arrived since the response to the previous one.
func (f *Framer) Started() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.phase != phaseHead || len(f.head) > 0
}

// Age returns the time since the first byte of the head arrived. It is meaningful only if Started reports true.
func (f *Framer) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.startedAt)
}

// InBody reports whether the head of the current request has been passed, and not the whole request for certain.
func (f *Framer) InBody() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.phase == phaseBody && (f.framing.chunked || f.remaining > 0)
}

// Missing returns how many bytes of the current request's body have not been read; -1 if that is unknown.
func (f *Framer) Missing() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.framing.chunked {
		return -1
	}
	return f.remaining
}

// HeadSize returns the number of bytes and of lines of the head of the current request, as far as it has arrived.
func (f *Framer) HeadSize() (size, lines int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.headSize, f.headLines
}

// endsClearly reports whether the head that was completed last leaves no doubt where the body ends.
func (f *Framer) endsClearly() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.phase == phaseBody && !f.framing.ambiguous
}
