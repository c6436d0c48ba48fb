package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Case slow-upload: a client sends a long request, and the server takes seconds to read it.
const (
	uploadMax     = 30 << 20               // the body is shorter
	uploadChunk   = 16 << 10               // the client writes the body in chunks of this size
	readPieceSize = 96 << 10               // the server reads so much at a time
	readPause     = 250 * time.Millisecond // after each piece, with the disruption
	uploadBudget  = 4500 * time.Millisecond
	answerSlack   = 500 * time.Millisecond // an answer so long after its time earns nothing, and is not lost
	uploadWait    = 30 * time.Second       // the client listens so long, for the record
	ackWait       = 40 * time.Second

	// The node does not read from the client while the window stays this far below its widest for as long as the node
	// would need to read many chunks. The body ends then, so that the node's machine still takes the end of it.
	narrowWindow = 2 * uploadChunk
	narrowFor    = 25 * time.Millisecond
	leastUpload  = 2 << 20 // the body is longer

	calmUpload = 4 << 20 // the length of the body without the disruption
)

// answered is what a client has got, and when.
type answered struct {
	status int
	body   []byte
	at     time.Time
	err    error
}

func init() { cases["slow-upload"] = slowUpload }

// slowUpload breaks the rule on lost requests if the client has no final answer half a second after its time, which
// counts from the moment at which the node's machine has acknowledged the last byte of the request.
func slowUpload(r *run) (verdict, error) {
	server, err := serve(r.readSlowly)
	if err != nil {
		return verdict{}, err
	}
	if err := r.startNode(kelowna, manyDescriptors, server); err != nil {
		return verdict{}, err
	}
	c, err := net.Dial("tcp", r.node.listen)
	if err != nil {
		return verdict{}, err
	}
	defer c.Close()
	answers := make(chan answered, 1)
	go func() { answers <- readAnswer(c) }()
	length, err := r.upload(c)
	if err != nil {
		return verdict{}, err
	}
	taken := time.Now()
	r.record.printf("client    the node's machine has the last byte of w1, with %d bytes of body: its time runs from now", length)
	select {
	case final := <-answers:
		return final.verdict(taken), nil
	case <-time.After(uploadBudget + answerSlack):
		r.record.printf("client    w1 has no answer, %v after its time of %v", answerSlack, uploadBudget)
	}
	const lost = "lost: w1 had no final answer half a second after its time"
	select {
	case final := <-answers:
		return verdict{true, lost + "; " + final.verdict(taken).reason}, nil
	case <-time.After(uploadWait):
		return verdict{true, fmt.Sprintf("%s, nor %v later", lost, uploadWait)}, nil
	}
}

// upload sends a request and waits until the node's machine has acknowledged all of it. The body is chunked. With the
// disruption it ends shortly after the node has stopped reading because of the server, while the node's machine still
// takes bytes.
func (r *run) upload(c net.Conn) (length int, err error) {
	r.record.printf("client    sends w1, X-Budget %v", uploadBudget)
	budget := strconv.FormatInt(uploadBudget.Milliseconds(), 10) + "m"
	if _, err := io.WriteString(c, requestHead(kelowna, "w1", budget, "Transfer-Encoding: chunked")); err != nil {
		return 0, err
	}
	chunk := append(fmt.Appendf(nil, "%x\r\n", uploadChunk), make([]byte, uploadChunk+2)...)
	copy(chunk[len(chunk)-2:], "\r\n")
	widest := 0
	for length < calmUpload || r.trouble && length < uploadMax {
		if _, err := c.Write(chunk); err != nil {
			return length, err
		}
		length += uploadChunk
		state, err := awaitAcknowledged(c, ackWait)
		if err != nil {
			return length, err
		}
		widest = max(widest, state.window)
		if !r.trouble || length < leastUpload || state.window > widest-narrowWindow {
			continue
		}
		time.Sleep(narrowFor)
		if state, err = sent(c); err != nil {
			return length, err
		}
		if state.window <= widest-narrowWindow {
			r.record.printf("client    the node's machine takes %d bytes more, of %d at most before: it does not read now",
				state.window, widest)
			break
		}
	}
	if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
		return length, err
	}
	_, err = awaitAcknowledged(c, ackWait)
	return length, err
}

// verdict judges an answer that came in time.
func (a answered) verdict(taken time.Time) verdict {
	took := a.at.Sub(taken).Round(time.Millisecond)
	if a.err != nil {
		return verdict{true, fmt.Sprintf("w1 got no whole answer, %v after its last byte: %v", took, a.err)}
	}
	return verdict{false, fmt.Sprintf("w1 was answered %d, %q, %v after its last byte", a.status, a.body, took)}
}

// readAnswer reads one answer.
func readAnswer(c net.Conn) answered {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answered{at: time.Now(), err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answered{status: response.StatusCode, body: body, at: time.Now(), err: err}
}

// readSlowly is a server that reads a body at an even pace and answers once it has read all of it.
func (r *run) readSlowly(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Call-Id")
	r.record.printf("server    the head of %s arrived, X-Budget %s", id, q.Header.Get("X-Budget"))
	total := int64(0)
	for {
		n, err := io.CopyN(io.Discard, q.Body, readPieceSize)
		total += n
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.record.printf("server    %s ended after %d bytes: %v", id, total, err)
			return
		}
		if r.trouble {
			time.Sleep(readPause)
		}
	}
	r.record.printf("server    has read all %d bytes of %s, runs it and answers 200", total, id)
	_, _ = io.WriteString(w, "done "+id) // fails only if the node has closed the connection
}
