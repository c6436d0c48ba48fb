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

// startWithLogPipe starts a node that rejects all requests, and logs that to a pipe of a small capacity. It returns the
// pipe's end for reading.
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
	awaitCondition(t, "it serves", func() bool { return answersOK("http://" + address + "/ready") })
	return p, address, log
}

// checkAnswersRequests sends requests that the node rejects, each of which may give a log line.
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
			t.Fatalf("request %d: %v", i, err)
		}
		response.Body.Close()
	}
}

// A reader of the log that stalls stops no request, and the node reports later how many lines are lost.
func TestLogThatNobodyReadsStopsNothing(t *testing.T) {
	p, address, log := startWithLogPipe(t)
	for range 4 { // the node bounds its lines a second
		checkAnswersRequests(t, address, 40)
		time.Sleep(time.Second)
	}
	for range 2000 { // of which each gives a line, without a bound
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
	t.Errorf("the node never reported lost lines: %v", lines.Err())
}

// A reader that closes the log ends nothing.
func TestLogWithoutAReaderEndsNothing(t *testing.T) {
	p, address, log := startWithLogPipe(t)
	log.Close()
	checkAnswersRequests(t, address, 5)
	p.signal(t, syscall.SIGHUP) // gives a line at once
	checkAnswersRequests(t, address, 5)
	p.signal(t, syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Fatalf("it ended with %v", err)
	}
}
