package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Case slow-reader: a client takes seconds to read a long answer, in pieces, without a pause of over half a second.
const (
	readSize    = 6 << 20
	clientPiece = 64 << 10
	clientPause = 500 * time.Millisecond // after each piece, with the disruption
)

func init() { cases["slow-reader"] = slowReader }

// slowReader breaks the rule on lost requests if the client does not get the whole answer.
func slowReader(r *run) (verdict, error) {
	server, err := serve(r.answerAtOnce)
	if err != nil {
		return verdict{}, err
	}
	if err := r.startNode(saskatoon, server); err != nil {
		return verdict{}, err
	}
	c, err := net.Dial("tcp", r.node.listen)
	if err != nil {
		return verdict{}, err
	}
	defer c.Close()
	if _, err := io.WriteString(c, requestHead(saskatoon, "b1", "6000m", "Content-Length: 0")); err != nil {
		return verdict{}, err
	}
	sent := time.Now()
	r.record.printf("client    sent b1")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return verdict{true, fmt.Sprintf("lost: b1 got no answer: %v", err)}, nil
	}
	r.record.printf("client    got status %d for b1, Content-Length %d", response.StatusCode, response.ContentLength)
	if response.StatusCode != http.StatusOK {
		return verdict{}, fmt.Errorf("the server's answer did not reach the client: status %d", response.StatusCode)
	}
	total := 0
	for buffer := make([]byte, clientPiece); ; {
		n, err := io.ReadFull(response.Body, buffer)
		total += n
		took := time.Since(sent).Round(time.Millisecond)
		if total == readSize {
			return verdict{false, fmt.Sprintf("b1 got all %d bytes after %v", total, took)}, nil
		}
		if err != nil {
			return verdict{true, fmt.Sprintf("lost: the node cut off the answer to b1 after %d bytes of %d, after %v: %v", total,
				readSize, took, err)}, nil
		}
		if total%(1<<20) == 0 {
			r.record.printf("client    has read %d bytes", total)
		}
		if r.trouble {
			time.Sleep(clientPause)
		}
	}
}

// answerAtOnce is a server that writes a long answer as fast as the node takes it.
func (r *run) answerAtOnce(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Call-Id")
	r.record.printf("server    %s arrived and ran", id)
	w.Header().Set("Content-Length", strconv.Itoa(readSize))
	n, err := w.Write(make([]byte, readSize))
	r.record.printf("server    wrote %d bytes of %d of the answer to %s, error %v", n, readSize, id, err)
}
