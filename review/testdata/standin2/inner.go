package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// innerRequest: a peer sends a request and, behind it on the same connection, a message whose body, by its
// Content-Length, holds a booking. With the disruption the message is improper: it says besides that it is chunked, and
// its first part is sent together with the request before it.
func innerRequest(p *play) error {
	var mu sync.Mutex
	var ran []string
	server, err := startServer("s-1", func(connection net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			mu.Lock()
			ran = append(ran, request.Header.Get("X-Call-Id"))
			mu.Unlock()
			p.line("server: runs %s %s", request.Method, request.Header.Get("X-Call-Id"))
			if !answer(connection, request) {
				return
			}
		}
	})
	if err != nil {
		return err
	}
	n, err := p.startTier(smallLimits, server)
	if err != nil {
		return err
	}
	defer n.stop()
	connection, err := net.Dial("tcp", n.listen)
	if err != nil {
		return err
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)

	first := head("GET", "first-1", calendarView)
	body := "0\r\n\r\n" + head("POST", "inner-1", slotBooking, "Content-Length: 0")
	headers := []string{"Content-Length: " + strconv.Itoa(len(body)), "X-Note: POST /api HTTP/1.1"}
	if p.trouble {
		headers = append(headers, "Transfer-Encoding: chunked")
	}
	message := head("POST", "outer-1", slotBooking, headers...) + body
	sentWithFirst := 0
	if p.trouble {
		sentWithFirst = strings.Index(message, "X-Note: ") + len("X-Note: ")
	}
	p.line("client: sends first-1 and %d bytes of outer-1", sentWithFirst)
	if _, err := io.WriteString(connection, first+message[:sentWithFirst]); err != nil {
		return err
	}
	if status, err := readAnswer(reader); err != nil || status != http.StatusOK {
		return fmt.Errorf("first-1 was answered %d, %w", status, err)
	}
	p.line("client: first-1 is answered 200; sends the rest of outer-1, whose body of %d bytes holds inner-1", len(body))
	if _, err := io.WriteString(connection, message[sentWithFirst:]); err != nil {
		return err
	}
	for answered := true; answered; {
		_ = connection.SetReadDeadline(time.Now().Add(3 * time.Second))
		status, err := readAnswer(reader)
		p.line("client: gets %d, error %v", status, err)
		answered = err == nil
	}
	mu.Lock()
	defer mu.Unlock()
	for _, id := range ran {
		improper := p.trouble && id == "outer-1"
		if improper || id == "inner-1" {
			p.breach("a server ran %s", id)
		}
	}
	return nil
}

// readAnswer reads an answer to its end and returns its status.
func readAnswer(reader *bufio.Reader) (status int, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
