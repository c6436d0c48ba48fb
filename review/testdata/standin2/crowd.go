package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// crowd sends the same bytes on many new connections, a few at a time, and keeps each connection open until the node
// ends it.
func (p *play) crowd(address string, size int, text func(i int) string) error {
	const perBurst = 25
	for i := range size {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		go func() {
			defer connection.Close()
			_, _ = io.WriteString(connection, text(i))
			_, _ = io.Copy(io.Discard, connection)
		}()
		if i%perBurst == perBurst-1 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	p.line("crowd: %d improper peers have connected", size)
	return nil
}

// halfBodies: many improper peers send a head and the first bytes of a long body, and stay. Meanwhile proper clients
// send short requests on new connections.
func halfBodies(p *play) error {
	const peers, clients = 1000, 10
	server, err := startServer("s-1", answerAll)
	if err != nil {
		return err
	}
	n, err := p.startTier(smallLimits, server)
	if err != nil {
		return err
	}
	defer n.stop()
	if p.trouble {
		err := p.crowd(n.listen, peers, func(i int) string {
			return head("POST", fmt.Sprintf("peer-%d", i), slotBooking, "Content-Length: 1000000") + "half"
		})
		if err != nil {
			return err
		}
	}
	var running sync.WaitGroup
	late := make([]time.Duration, clients)
	for i := range clients {
		running.Go(func() { late[i] = p.ask(n.listen, fmt.Sprintf("proper-%d", i)) })
		time.Sleep(100 * time.Millisecond)
	}
	running.Wait()
	for i, after := range late {
		if after > budget+lostAfter {
			p.breach("proper-%d had no final answer %v after its time", i, lostAfter)
		}
	}
	return nil
}

// ask sends a request on a new connection, and once more on another if that is closed unread. It returns when the
// final answer came.
func (p *play) ask(address, id string) (after time.Duration) {
	began := time.Now()
	p.line("client: sends %s", id)
	status, err := askOnce(address, id)
	if err != nil {
		p.line("client: %s: %v; sends it once more", id, err)
		status, err = askOnce(address, id)
	}
	after = time.Since(began)
	p.line("client: %s: %d, error %v, after %.3f s", id, status, err, after.Seconds())
	return after
}

func askOnce(address, id string) (status int, err error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer connection.Close()
	if _, err := io.WriteString(connection, head("GET", id, calendarView)); err != nil {
		return 0, err
	}
	return readAnswer(bufio.NewReader(connection))
}

// halfHeads: many improper peers send the most part of a head that has many short lines, and stay. The platform ends
// the node once it takes more memory than its limit. Meanwhile a proper client sends requests.
func halfHeads(p *play) error {
	const peers, lines = 600, 1500
	server, err := startServer("s-1", answerAll)
	if err != nil {
		return err
	}
	limits := limits{Cores: 1, MemoryMB: 64, Sockets: 1024}
	n, err := p.startTier(limits, server)
	if err != nil {
		return err
	}
	defer n.stop()
	stop := make(chan struct{})
	watched := make(chan int)
	go func() { watched <- p.limitMemory(n, limits.MemoryMB<<10, stop) }()
	asked := make(chan bool)
	go func() { asked <- p.askUntil(n.listen, stop) }()
	if p.trouble {
		var text strings.Builder
		for i := range lines {
			fmt.Fprintf(&text, "X-%d: a\r\n", i)
		}
		start := strings.TrimSuffix(head("GET", "peer-%d", calendarView), "\r\n")
		p.line("crowd: each peer sends %d bytes of a head in %d lines", len(start)+text.Len(), lines)
		err = p.crowd(n.listen, peers, func(i int) string { return fmt.Sprintf(start, i) + text.String() })
	}
	time.Sleep(3 * time.Second)
	close(stop)
	failed, peak := <-asked, <-watched
	p.line("platform: the node had %d kB of anonymous memory at the most, limit %d kB", peak, limits.MemoryMB<<10)
	if peak > limits.MemoryMB<<10 {
		p.breach("the node went over its memory limit and was killed; a proper request failed: %t", failed)
		return nil
	}
	return err
}

// limitMemory kills the node once its anonymous memory is over a limit, in kB. It returns the highest value.
func (p *play) limitMemory(n *node, limit int, stop <-chan struct{}) (peak int) {
	for {
		select {
		case <-stop:
			return peak
		case <-time.After(2 * time.Millisecond):
		}
		peak = max(peak, n.anonymousMemory())
		if peak > limit {
			p.line("platform: the node has %d kB and is killed", peak)
			n.signal(syscall.SIGKILL)
			return peak
		}
	}
}

// anonymousMemory returns the memory of a process in kB without pages of files, such as those of its program.
func (n *node) anonymousMemory() (kB int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	_, after, _ := strings.Cut(string(text), "RssAnon:")
	_, _ = fmt.Sscan(after, &kB)
	return kB
}

// askUntil sends one request after another on a kept connection until one fails or the case is over. It reports
// whether one failed.
func (p *play) askUntil(address string, stop <-chan struct{}) (failed bool) {
	client := http.Client{Timeout: budget + lostAfter}
	for i := 0; ; i++ {
		select {
		case <-stop:
			p.line("client: %d requests were answered", i)
			return false
		case <-time.After(20 * time.Millisecond):
		}
		id := fmt.Sprintf("proper-%d", i)
		request, err := http.NewRequest(http.MethodGet, "http://"+address+"/api", nil)
		if err != nil {
			return false
		}
		for _, line := range requestHeaders(id, calendarView) {
			name, value, _ := strings.Cut(line, ": ")
			request.Header.Set(name, value)
		}
		response, err := client.Do(request)
		if err != nil {
			p.line("client: %d requests were answered, %s was not: %v", i, id, err)
			return true
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
}
