package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	crowdMemoryMB = 32   // the least memory that a deployment gives a node
	crowdSockets  = 1024 // and the most descriptors
	crowdSize     = 600
	crowdTime     = 3 * time.Second
)

// startWithoutRaceDetector builds the program without the race detector, which takes several times the memory, and
// starts it. It returns the process and its address.
func startWithoutRaceDetector(t *testing.T, config string) (p *process, address string) {
	t.Helper()
	program := filepath.Join(t.TempDir(), "balancer")
	if output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, output)
	}
	p = newProcess(t, config)
	p.Path, p.Args = program, []string{program}
	log := p.startLogging(t)
	address = log.awaitAddress(t)
	go log.readToEnd() // ends with the process
	awaitCondition(t, "/ready is answered with 200", func() bool { return answersOK("http://" + address + "/ready") })
	return p, address
}

// anonymousMemory returns the memory of a process in kB, without pages of files such as those of its program.
func (p *process) anonymousMemory(t *testing.T) (kB int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, found := strings.Cut(string(text), "RssAnon:")
	if _, err := fmt.Sscan(after, &kB); !found || err != nil {
		t.Fatalf("the process has ended, or its status has no RssAnon: %v", err)
	}
	return kB
}

// serveAsAsked answers with as many bytes as the request asks for, in the chunked form, after it has read the body.
func serveAsAsked(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(300 * time.Millisecond)
	length, _ := strconv.Atoi(r.Header.Get("X-Length"))
	for chunk := make([]byte, 16<<10); length > 0; length -= len(chunk) {
		if _, err := w.Write(chunk[:min(length, len(chunk))]); err != nil {
			return
		}
	}
}

// crowdHead returns the lines of a request's head, without the empty line at its end.
func crowdHead(id string, more ...string) string {
	const lines = "POST /api HTTP/1.1\r\nHost: s\r\nX-Call-Id: %s\r\nX-Call-Class: a\r\nX-Budget: 6000m\r\n"
	return fmt.Sprintf(lines, id) + strings.Join(append(more, ""), "\r\n")
}

// peers are the members of a crowd, by what each does on a connection of its own.
var peers = map[string]func(id string, conn net.Conn){
	"half heads of many fields": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, crowdHead(id)+manyFields())
	},
	"heads of many fields": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, crowdHead(id)+manyFields()+"\r\n")
	},
	"half bodies": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, crowdHead(id, "Content-Length: 1000000\r\n")+strings.Repeat("x", 200000))
	},
	"slow bodies": func(id string, conn net.Conn) {
		_, err := io.WriteString(conn, crowdHead(id, "Transfer-Encoding: chunked\r\n"))
		for err == nil {
			time.Sleep(50 * time.Millisecond)
			_, err = io.WriteString(conn, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n")
		}
	},
	"bodies that are buffered": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, crowdHead(id, "X-Length: 60000", "Content-Length: 60000\r\n")+strings.Repeat("x", 60000))
	},
	"slow readers": func(id string, conn net.Conn) {
		_, err := io.WriteString(conn, crowdHead(id, "X-Length: 4000000\r\n"))
		for b := make([]byte, 4<<10); err == nil; {
			time.Sleep(50 * time.Millisecond)
			_, err = conn.Read(b)
		}
	},
}

// manyFields returns 15 kB of short header fields.
func manyFields() string {
	var fields strings.Builder
	for i := range 1500 {
		fmt.Fprintf(&fields, "X-%d: a\r\n", i)
	}
	return fields.String()
}

// crowd has many peers connect at once, again and again, until the time is over.
func crowd(t *testing.T, address string, kinds []string) {
	t.Helper()
	var running sync.WaitGroup
	end := time.Now().Add(crowdTime)
	for i := range crowdSize {
		act := peers[kinds[i%len(kinds)]]
		running.Go(func() {
			for attempt := 0; time.Now().Before(end); attempt++ {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					continue
				}
				_ = conn.SetDeadline(end)
				act(fmt.Sprintf("%d-%d", i, attempt), conn)
				_, _ = io.Copy(io.Discard, conn) // until the node closes the connection, or the end
				conn.Close()
			}
		})
	}
	running.Wait()
}

// Guards against a process that is killed because it passes its memory limit: hundreds of peers at once send heads of
// many short fields, bodies that stop half-way or come slowly, or read long responses slowly.
func TestMemoryLimitHoldsInCrowds(t *testing.T) {
	crowds := map[string][]string{"all": nil}
	for kind := range peers {
		crowds[kind] = []string{kind}
		crowds["all"] = append(crowds["all"], kind)
	}
	for name, kinds := range crowds {
		t.Run(name, func(t *testing.T) {
			discovery, _ := startDiscovery(t)
			p, address := startWithoutRaceDetector(t, nodeConfig{
				discovery:   discovery,
				memoryMB:    crowdMemoryMB,
				sockets:     crowdSockets,
				backend:     startBackend(t, serveAsAsked),
				objectiveMS: 2500,
				deadlineMS:  6000,
			}.json())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				crowd(t, address, kinds)
			}()
			peak := 0
			for over := false; !over; {
				select {
				case <-ended:
					over = true
				case <-time.After(2 * time.Millisecond):
				}
				peak = max(peak, p.anonymousMemory(t))
			}
			t.Logf("at most %d kB of %d", peak, crowdMemoryMB<<10)
			if peak > crowdMemoryMB<<10 {
				t.Errorf("the process took %d kB, want at most its limit of %d kB", peak, crowdMemoryMB<<10)
			}
			if !answersOK("http://" + address + "/ready") {
				t.Error("the process does not serve after the crowd")
			}
		})
	}
}

// Guards against a node that is killed because its two processes together pass the memory limit, when it is upgraded
// within a crowd of all kinds of peers.
func TestMemoryLimitHoldsInAnUpgrade(t *testing.T) {
	discovery, _ := startDiscovery(t)
	config := nodeConfig{
		listen:       freeAddress(t),
		adminAddress: freeAddress(t),
		discovery:    discovery,
		memoryMB:     crowdMemoryMB,
		sockets:      crowdSockets,
		backend:      startBackend(t, serveAsAsked),
		objectiveMS:  2500,
		deadlineMS:   6000,
	}
	t.Setenv("TMPDIR", t.TempDir())
	oldProcess, address := startWithoutRaceDetector(t, config.json())
	var kinds []string
	for kind := range peers {
		kinds = append(kinds, kind)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		crowd(t, address, kinds)
	}()
	time.Sleep(crowdTime / 3)
	config.adminAddress = freeAddress(t)
	newProcess := newProcess(t, config.json())
	newProcess.Path, newProcess.Args = oldProcess.Path, oldProcess.Args
	newProcess.start(t)
	peak := 0
	for over := false; !over; {
		select {
		case <-ended:
			over = true
		case <-time.After(2 * time.Millisecond):
		}
		peak = max(peak, oldProcess.anonymousMemory(t)+newProcess.anonymousMemory(t))
	}
	t.Logf("at most %d kB of %d", peak, crowdMemoryMB<<10)
	if peak > crowdMemoryMB<<10 {
		t.Errorf("both processes took %d kB, want at most their limit of %d kB", peak, crowdMemoryMB<<10)
	}
}
