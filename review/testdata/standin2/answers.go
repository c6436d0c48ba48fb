package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// slowReader: a client reads a long answer at 64 kB a second, in pieces.
func slowReader(p *play) error {
	const length, rate, pieces = 6 << 20, 64000, 10 // pieces in a second
	server, err := startServer("s-1", func(connection net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Call-Id")
		p.line("server: runs %s", id)
		_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, make([]byte, length))
		p.line("server: has written the answer to %s, error %v", id, err)
		_, err = io.Copy(io.Discard, connection)
		p.line("server: the connection has ended, error %v", err)
	})
	if err != nil {
		return err
	}
	// A receive buffer of fixed size, so that the case does not depend on how the system sizes it.
	buffer := func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
	}
	return p.readLong(server, "slow-reader-1", length, buffer, func(body io.Reader) (read int64, err error) {
		if !p.trouble {
			return io.Copy(io.Discard, body)
		}
		ticker := time.NewTicker(time.Second / pieces)
		defer ticker.Stop()
		for piece := make([]byte, rate/pieces); err == nil; <-ticker.C {
			var n int
			n, err = io.ReadFull(body, piece)
			before := read
			read += int64(n)
			if before/(10*rate) != read/(10*rate) {
				p.line("client: has read %d bytes", read)
			}
		}
		if read == length {
			err = nil
		}
		return read, err
	})
}

// readLong sends a request before a server and reads its long answer. The rule is broken if the answer is not whole.
func (p *play) readLong(s *server, id string, length int64, socket func(uintptr),
	read func(io.Reader) (int64, error)) error {
	n, err := p.startTier(smallLimits, s)
	if err != nil {
		return err
	}
	defer n.stop()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		if socket == nil {
			return nil
		}
		return raw.Control(socket)
	}}
	connection, err := dialer.Dial("tcp", n.listen)
	if err != nil {
		return err
	}
	defer connection.Close()
	began := time.Now()
	p.line("client: sends %s", id)
	if _, err := io.WriteString(connection, head("GET", id, calendarView)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(connection, 4<<10), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s got no answer: %w", id, err)
	}
	p.line("client: the answer to %s has begun after %.3f s", id, time.Since(began).Seconds())
	got, err := read(response.Body)
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
