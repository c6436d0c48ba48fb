package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Idle clients may fill the descriptors while discovery is down. The node keeps within its limit, the watch opens once
// discovery is back, and a new client is served or shut, never left waiting.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	const limit = 128
	var up atomic.Bool
	refused, watched := make(chan struct{}, 1000), make(chan struct{}, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !up.Load() {
			select {
			case refused <- struct{}{}:
			default:
			}
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintln(w, `{"seq":2,"whole":false,"hosts":[]}`)
		w.(http.Flusher).Flush()
		watched <- struct{}{}
		<-r.Context().Done()
	}))
	agent.Config.ErrorLog = nil
	t.Cleanup(func() {
		agent.CloseClientConnections()
		agent.Close()
	})
	c := program(t, strings.Replace(fmt.Sprintf(config, agent.Listener.Addr()), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, limit), 1))
	stderr, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Process.Kill()
		c.Wait()
	})
	lines, addr := bufio.NewScanner(stderr), ""
	for serving := regexp.MustCompile(`msg=serving .*listen=(\S+)`); addr == "" && lines.Scan(); {
		if m := serving.FindStringSubmatch(lines.Text()); m != nil {
			addr = m[1]
		}
	}
	go io.Copy(io.Discard, stderr)
	<-refused
	most := 0
	for range 3 * limit { // all of them stay, as far as the node lets them
		idle, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer idle.Close()
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		most = max(most, len(open))
	}
	if most > limit || most < limit/3 {
		t.Errorf("%d descriptors are open beside %d idle clients, the limit is %d", most, 3*limit, limit)
	}
	for len(refused) > 0 {
		<-refused
	}
	<-refused // it still asks while the clients hold all they may
	up.Store(true)
	select {
	case <-watched:
	case <-time.After(6 * time.Second):
		t.Error("no watch 6 s after discovery is back")
	}
	for range 20 {
		fresh, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		fresh.SetDeadline(time.Now().Add(3 * time.Second))
		fmt.Fprint(fresh, "GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")
		_, err = bufio.NewReader(fresh).ReadByte()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("a new client was neither served nor shut")
		}
		fresh.Close()
	}
}
