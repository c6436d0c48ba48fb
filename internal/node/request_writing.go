// How a request is written to a server.

package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"time"
)

// maxCopiedBody is the length of a body up to which it is copied behind its head, so that one write sends both.
const maxCopiedBody = 4 << 10

// streamedAnswerTime is how long before the end of the client's time a streamed request that has not been written is
// given up, so that the client gets its answer in time. Its server cannot have run it.
const streamedAnswerTime = 100 * time.Millisecond

// errHeadOnly ends the encoding of a request after its head.
var errHeadOnly = errors.New("only the head is encoded")

// headOnlyBody stands for a body that is written separately from its head.
type headOnlyBody struct{}

func (headOnlyBody) Read([]byte) (int, error) { return 0, errHeadOnly }

// writeBuffered writes a request whose body is buffered completely.
func writeBuffered(w io.Writer, pieces [][]byte) error {
	for _, piece := range pieces {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// encodeRequest returns a request whose body is buffered completely, in the pieces in which it is written.
func (p *pool) encodeRequest(att *attempt) [][]byte {
	head, body := p.encodeHead(att), att.request.body
	if len(body) <= maxCopiedBody {
		return [][]byte{append(head, body...)}
	}
	return [][]byte{head, body}
}

// writeStreamed writes a request while its body is still arriving from the client.
func (p *pool) writeStreamed(c *serverConn, att *attempt) error {
	w := &streamWriter{
		serverConn: c,
		timeout:    att.timeout,
		giveUpAt:   func() time.Time { return p.clock.at(p.streamedDeadline(att.request) - streamedAnswerTime) },
	}
	buffered := bufio.NewWriterSize(w, p.buffers.chunkSize)
	_, _ = buffered.Write(p.encodeHead(att)) // the flush returns an error too
	err := buffered.Flush()
	if err == nil {
		err = p.copyBody(buffered, att.request)
	}
	if err == nil {
		err = buffered.Flush()
	}
	if w.err != nil { // the error of the writer says why a copy has failed
		return w.err
	}
	return err
}

// copyBody writes the body of a request as it arrives. It needs no buffer besides those of the writer and of chunks.
func (p *pool) copyBody(w *bufio.Writer, request *clientRequest) error {
	body := io.MultiReader(bytes.NewReader(request.body), request.bodyStream)
	if request.contentLength < 0 {
		return writeChunked(w, body, make([]byte, p.buffers.chunkSize))
	}
	n, err := w.ReadFrom(body)
	if err == nil && n != request.contentLength {
		err = fmt.Errorf("the body has %d bytes, and its head announced %d", n, request.contentLength)
	}
	return err
}

// writeChunked writes a body in the chunked form, each chunk from the buffer.
func writeChunked(w io.Writer, body io.Reader, buffer []byte) error {
	chunks := httputil.NewChunkedWriter(w)
	// The reader's own WriteTo would allocate a buffer.
	if _, err := io.CopyBuffer(chunks, struct{ io.Reader }{body}, buffer); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n") // there is no trailer
	return err
}

// streamedDeadline returns when the client of a streamed request stops waiting, by what is known of its body now.
func (p *pool) streamedDeadline(request *clientRequest) time.Duration {
	now := time.Now()
	sinceWritten := now.Sub(request.connection.bodyWrittenAt(now))
	return p.clock.now() - sinceWritten + request.budget
}

// streamWriter writes a request to a server, with a timeout for each write, until a response arrives.
type streamWriter struct {
	*serverConn
	timeout  time.Duration
	giveUpAt func() time.Time // when the client has to be answered, by what is known now
	err      error            // of the write that failed
}

// Write implements io.Writer. It returns errEarlyResponse if a response has arrived, or if the write fails for another
// reason than its timeout: a server that responds early may close the connection.
func (w *streamWriter) Write(b []byte) (written int, err error) {
	timeout := time.Now().Add(w.timeout)
	for {
		if len(w.replies) > 0 {
			w.err = errEarlyResponse
			return written, w.err
		}
		deadline := earlier(timeout, w.giveUpAt())
		// The error is ignored: it occurs only on a closed connection, where the write fails too.
		_ = w.SetWriteDeadline(deadline)
		var n int
		n, w.err = w.serverConn.Write(b[written:])
		written += n
		timedOut := errors.Is(w.err, os.ErrDeadlineExceeded)
		switch {
		case timedOut && time.Now().Before(earlier(timeout, w.giveUpAt())): // the client has gone on writing since
			continue
		case w.err != nil && !timedOut:
			w.err = errEarlyResponse // a response that the server sent before the connection broke may still be read
		}
		return written, w.err
	}
}

// encodeHead returns the head of a request in the form in which it is written to the endpoint.
func (p *pool) encodeHead(att *attempt) []byte {
	var encoded bytes.Buffer
	// The error is ignored: it is errHeadOnly if there is a body, and neither the buffer nor a head can fail.
	_ = p.outgoingRequest(att).Write(&encoded)
	return encoded.Bytes()
}

// outgoingRequest returns the client's request with the remaining budget in X-Budget, without its body. The budget of a
// streamed request starts with its last byte.
func (p *pool) outgoingRequest(att *attempt) *http.Request {
	incoming := att.request
	header := incoming.header.Clone()
	remaining := att.deadline - p.clock.now()
	if incoming.bodyStream != nil {
		remaining = min(att.timeout, incoming.budget)
	}
	att.budgetSent = max(remaining, time.Microsecond)
	header.Set("X-Budget", strconv.FormatInt(att.budgetSent.Microseconds(), 10)+"u")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // otherwise Request.Write adds a default value
	}
	outgoing := &http.Request{
		Method:        incoming.method,
		URL:           incoming.url,
		Host:          incoming.host,
		Header:        header,
		ContentLength: incoming.contentLength,
	}
	if incoming.contentLength != 0 {
		outgoing.Body = io.NopCloser(headOnlyBody{})
	}
	return outgoing
}
