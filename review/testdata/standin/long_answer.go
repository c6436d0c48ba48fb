package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Case long-answer: a server gives an answer of over 64 KiB without a Content-Length, and takes seconds to write it.
const (
	answerPieces = 10
	answerPiece  = 10 << 10
	answerPause  = 500 * time.Millisecond // after each piece, with the disruption
	answerBudget = "6000m"
	answerWait   = 20 * time.Second
)

func init() { cases["long-answer"] = longAnswer }

// longAnswer breaks the rule on lost requests if the node cuts off the answer that the server still gives.
func longAnswer(r *run) (verdict, error) {
	server, err := serve(r.answerSlowly)
	if err != nil {
		return verdict{}, err
	}
	if err := r.startNode(saskatoon, manyDescriptors, server); err != nil {
		return verdict{}, err
	}
	c, err := net.Dial("tcp", r.node.listen)
	if err != nil {
		return verdict{}, err
	}
	defer c.Close()
	if _, err := io.WriteString(c, requestHead(saskatoon, "b1", answerBudget, "Content-Length: 0")); err != nil {
		return verdict{}, err
	}
	sent := time.Now()
	r.record.printf("client    sent b1, X-Budget %s", answerBudget)
	_ = c.SetReadDeadline(sent.Add(answerWait)) // fails only on a closed connection
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return verdict{true, fmt.Sprintf("lost: b1 got no answer: %v", err)}, nil
	}
	r.record.printf("client    got status %d for b1", response.StatusCode)
	body, err := io.ReadAll(response.Body)
	took := time.Since(sent).Round(time.Millisecond)
	got := fmt.Sprintf("b1 got status %d and %d bytes of %d after %v, error %v", response.StatusCode, len(body),
		answerPieces*answerPiece, took, err)
	if response.StatusCode == http.StatusOK && err == nil && len(body) == answerPieces*answerPiece {
		return verdict{false, got}, nil
	}
	return verdict{true, "lost: the node cut off the answer that the server still gave; " + got}, nil
}

// answerSlowly is a server that writes a chunked answer piece by piece, the first one at once.
func (r *run) answerSlowly(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Call-Id")
	r.record.printf("server    %s arrived and ran, X-Budget %s", id, q.Header.Get("X-Budget"))
	for i := range answerPieces {
		_, err := w.Write(make([]byte, answerPiece))
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		if err != nil || q.Context().Err() != nil {
			r.record.printf("server    the node has closed the connection before piece %d of %d of %s", i+1, answerPieces, id)
			return
		}
		r.record.printf("server    wrote piece %d of %d of %s", i+1, answerPieces, id)
		if r.trouble {
			time.Sleep(answerPause)
		}
	}
}
