package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// lateEnd: a server sends the bytes of a long answer at once, and the end of its chunked body some seconds later.
func lateEnd(p *play) error {
	const length = 100 << 10
	pause := 6 * time.Second
	if !p.trouble {
		pause = time.Second
	}
	server, err := startServer("s-1", func(connection net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Call-Id")
		p.line("server: runs %s", id)
		_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", length,
			bytes.Repeat([]byte("a"), length))
		p.line("server: has written the %d bytes of the answer to %s, error %v", length, id, err)
		time.Sleep(pause)
		_, err = io.WriteString(connection, "0\r\n\r\n")
		p.line("server: has written the end of the answer to %s, error %v", id, err)
		_, _ = io.Copy(io.Discard, connection)
	})
	if err != nil {
		return err
	}
	return p.readLong(server, "late-end-1", length)
}

// readLong sends a request before a server and reads its long answer. The rule is broken if the answer is not whole.
func (p *play) readLong(s *server, id string, length int64) error {
	n, err := p.startTier(smallLimits, s)
	if err != nil {
		return err
	}
	defer n.stop()
	connection, err := net.Dial("tcp", n.listen)
	if err != nil {
		return err
	}
	defer connection.Close()
	began := time.Now()
	p.line("client: sends %s", id)
	if _, err := io.WriteString(connection, head("GET", id, calendarView)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s got no answer: %w", id, err)
	}
	p.line("client: the answer to %s has begun after %.3f s", id, time.Since(began).Seconds())
	got, err := io.Copy(io.Discard, response.Body)
	p.line("client: has %d bytes of the answer to %s after %.3f s, error %v", got, id, time.Since(began).Seconds(), err)
	if err != nil || got != length {
		p.breach("the answer to %s was cut off after %d of %d bytes: %v", id, got, length, err)
	}
	p.line("node: %s", n.decisions())
	return nil
}

// decisions returns what the node's admin endpoint says of its decisions.
func (n *node) decisions() string {
	response, err := http.Get("http://" + n.control + "/control/decisions")
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return string(bytes.TrimSpace(text))
}
