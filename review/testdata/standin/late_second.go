package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Case late-second: servers send some of their answers twice, the second time some milliseconds late. The clients
// arrive once the node is ready, and send one request after the other, with short pauses between them.
const (
	lateServers  = 8
	lateClients  = 84                     // under a third of the descriptors
	unsafeEvery  = 3                      // each third client sends requests that must never run twice
	lateRequests = 4                      // of each client
	lateWork     = 300 * time.Millisecond // of each request
	mostPause    = 30 * time.Millisecond  // of a client between an answer and its next request; drawn evenly from 0
	doubledEvery = 3                      // each third answer of a server comes twice
	lateness     = 25 * time.Millisecond  // of the second answer after the first
	lateBudget   = "6000m"
	lateWait     = 10 * time.Second
)

func init() { cases["late-second"] = lateSecond }

// tally counts the answers that clients got.
type tally struct {
	served, refused, failed atomic.Int64

	foreign       atomic.Int64 // answers that were made for another request
	foreignUnsafe atomic.Int64 // those of them to requests that must never run twice
}

// lateSecond breaks the rule on lost requests if a client gets an answer that was made for another request.
func lateSecond(r *run) (verdict, error) {
	var servers []string
	for range lateServers {
		server, err := r.answerTwice()
		if err != nil {
			return verdict{}, err
		}
		servers = append(servers, server)
	}
	if err := r.startNode(saskatoon, fewDescriptors, servers...); err != nil {
		return verdict{}, err
	}
	var answers tally
	var clients sync.WaitGroup
	failures := make(chan error, lateClients)
	for client := range lateClients {
		clients.Go(func() {
			if err := r.requestInTurn(client, &answers); err != nil {
				failures <- err
			}
		})
	}
	clients.Wait()
	if len(failures) > 0 {
		return verdict{}, <-failures
	}
	text := fmt.Sprintf("%d answers made for another request, %d of them to a %s; %d right, %d refused, %d failed",
		answers.foreign.Load(), answers.foreignUnsafe.Load(), saskatoon.unsafe, answers.served.Load(),
		answers.refused.Load(), answers.failed.Load())
	if answers.foreign.Load() > 0 {
		return verdict{true, "lost: " + text}, nil
	}
	return verdict{false, text}, nil
}

// requestInTurn is a client that sends one request after the other on its connection.
func (r *run) requestInTurn(client int, answers *tally) error {
	c, err := net.Dial("tcp", r.node.listen)
	if err != nil {
		return err
	}
	defer c.Close()
	unsafe := client%unsafeEvery == 0
	reader := bufio.NewReader(c)
	for number := range lateRequests {
		id := fmt.Sprintf("v%d-%d", client, number)
		_ = c.SetDeadline(time.Now().Add(lateWait)) // fails only on a closed connection
		head := getHead(saskatoon, id, lateBudget)
		if unsafe {
			head = requestHead(saskatoon, id, lateBudget, "Content-Length: 0")
		}
		if _, err := io.WriteString(c, head); err != nil {
			return err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		switch {
		case response.StatusCode == http.StatusOK && string(body) != madeFor(id):
			answers.foreign.Add(1)
			if unsafe {
				answers.foreignUnsafe.Add(1)
			}
			r.record.printf("client    %s (must never run twice: %v) got an answer that was made for another request", id, unsafe)
		case response.StatusCode == http.StatusOK:
			answers.served.Add(1)
		case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
			answers.refused.Add(1)
		default:
			answers.failed.Add(1)
		}
		r.record.printf("client    %s got status %d, %q", id, response.StatusCode, body)
		time.Sleep(rand.N(mostPause))
	}
	return nil
}

func madeFor(id string) string { return "made for " + id }

// answerTwice starts a server that, with the disruption, sends some of its answers a second time.
func (r *run) answerTwice() (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	var answers atomic.Int64
	go func() { // ends with the program
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.answerConnection(c, &answers)
		}
	}()
	return listener.Addr().String(), nil
}

// answerConnection answers the requests of one connection in turn. The number of answers is that of the server.
func (r *run) answerConnection(c net.Conn, answers *atomic.Int64) {
	defer c.Close()
	var writing sync.Mutex
	write := func(answer, note string) {
		writing.Lock()
		defer writing.Unlock()
		_, err := io.WriteString(c, answer) // fails if the node has closed the connection
		r.record.printf("server    sends %s, error %v", note, err)
	}
	for reader := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := q.Header.Get("X-Call-Id")
		r.record.printf("server    %s arrived on the connection from %v", id, c.RemoteAddr())
		time.Sleep(lateWork)
		body := madeFor(id)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		write(answer, "the answer to "+id)
		if r.trouble && answers.Add(1)%doubledEvery == 0 {
			time.AfterFunc(lateness, func() { write(answer, "the answer to "+id+" a second time") })
		}
	}
}
