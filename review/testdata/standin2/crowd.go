package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
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
