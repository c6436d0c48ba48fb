package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// startWithLogPipe starts a node that rejects all requests and logs that to a pipe of 4 KiB. It returns the reading end
// of the pipe.
func startWithLogPipe(t *testing.T) (p *process, address string, log *os.File) {
	t.Helper()
	discovery, watched := startDiscovery(t)
	address = freeAddress(t)
	p = newProcess(t, nodeConfig{listen: address, discovery: discovery}.json())
	log, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { log.Close() })
	if _, err := unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, 4<<10); err != nil {
		t.Fatal(err)
	}
	p.Stderr = write
	p.start(t)
	write.Close()
	<-watched
	awaitCondition(t, "the node serves", func() bool { return answersOK("http://" + address + "/ready") })
	return p, address, log
}

// checkAnswersRequests sends requests and checks that each is answered. The node rejects them, and may log each
// rejection.
func checkAnswersRequests(t *testing.T, address string, count int) {
	t.Helper()
	client := http.Client{Timeout: 5 * time.Second}
	for i := range count {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/api", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header = http.Header{
			"X-Call-Id":    {fmt.Sprint("r", i)},
			"X-Call-Class": {"a"},
			"X-Budget":     {"200m"},
		}
		response, err := client.Do(request)
		if err != nil {
			t.Fatalf("request %d got no response: %v", i, err)
		}
		response.Body.Close()
	}
}

// While no process reads the log and its pipe is full, the node must still answer requests. Later it must report how
// many log lines were lost.
func TestUnreadLogDoesNotBlockRequests(t *testing.T) {
	p, address, log := startWithLogPipe(t)
	for range 4 { // the node limits the log lines per second
		checkAnswersRequests(t, address, 40)
		time.Sleep(time.Second)
	}
	for range 2000 { // each signal gives a log line, without a limit per second
		p.signal(t, syscall.SIGHUP)
		time.Sleep(500 * time.Microsecond)
	}
	checkAnswersRequests(t, address, 5)
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		if strings.Contains(lines.Text(), "log lines lost") {
			return
		}
	}
	t.Errorf("the log ended without a report of lost lines: %v", lines.Err())
}

// When the reading end of the log's pipe is closed, the node must neither end, for example by SIGPIPE, nor stop
// answering requests.
func TestClosedLogDoesNotEndNode(t *testing.T) {
	p, address, log := startWithLogPipe(t)
	log.Close()
	checkAnswersRequests(t, address, 5)
	p.signal(t, syscall.SIGHUP) // the node logs the reload at once
	checkAnswersRequests(t, address, 5)
	p.signal(t, syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Fatalf("the node ended with %v, want exit 0", err)
	}
}
