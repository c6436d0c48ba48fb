package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// loggingProgram starts a node that refuses all requests, and logs that, to a pipe that holds little.
func loggingProgram(t *testing.T) (u upgradable, p proc, logs *os.File) {
	t.Helper()
	agent, watched := newAgent(t)
	u = upgradable{freeAddr(t), t.TempDir(), agent}
	text := strings.Replace(fmt.Sprintf(config, u.agent), `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, u.listen), 1)
	p = proc{program(t, text), ""}
	logs, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { logs.Close() })
	if _, err := unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, 4<<10); err != nil {
		t.Fatal(err)
	}
	p.Stderr = write
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	write.Close()
	t.Cleanup(func() { p.Process.Kill(); p.Wait() })
	<-watched
	p.await(t, "it serves", u.taken)
	return u, p, logs
}

// answersRequests sends requests that the node refuses, each of which may give a log line.
func answersRequests(t *testing.T, u upgradable, n int) {
	t.Helper()
	client := http.Client{Timeout: 5 * time.Second}
	for i := range n {
		r, err := http.NewRequest(http.MethodPost, "http://"+u.listen+"/api", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header = http.Header{"X-Call-Id": {fmt.Sprint("r", i)}, "X-Call-Class": {"a"}, "X-Budget": {"200m"}}
		resp, err := client.Do(r)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		resp.Body.Close()
	}
}

// A reader of the log that stands still stops no request, and the node says later how much is missing.
func TestLogThatNobodyReadsStopsNothing(t *testing.T) {
	u, p, logs := loggingProgram(t)
	for range 4 { // the node bounds its lines a second
		answersRequests(t, u, 40)
		time.Sleep(time.Second)
	}
	for range 2000 { // of which each gives a line, without a bound
		p.Process.Signal(syscall.SIGHUP)
		time.Sleep(500 * time.Microsecond)
	}
	answersRequests(t, u, 5)
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		if strings.Contains(lines.Text(), "log lines lost") {
			return
		}
	}
	t.Errorf("the node never said that lines are lost: %v", lines.Err())
}

// A reader of the log that has gone ends nothing.
func TestLogWithoutAReaderEndsNothing(t *testing.T) {
	u, p, logs := loggingProgram(t)
	logs.Close()
	answersRequests(t, u, 5)
	p.Process.Signal(syscall.SIGHUP) // gives a line at once
	answersRequests(t, u, 5)
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		if exit, ok := err.(*exec.ExitError); ok {
			t.Fatalf("it ended with %v", exit)
		}
		t.Fatal(err)
	}
}
