package testbed

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// runStubNode stands in for the node program, with one planted fault:
//   - "twice" answers each request twice
//   - "resend" sends each POST to a second server as well
//   - "lose" forwards a request, but closes the connection instead of answering
//   - "drained" goes on sending to a draining server
//   - "mute" never listens
//   - "overtell" gives servers a budget of an hour
//   - "linger" forwards requests 0.7 s late, also after the client has disconnected
//   - "repeat" sends keyed requests again after the deduplication window
//   - "swallow" reads a request and closes the connection
//   - "give back" resets the connection and forwards the request nevertheless, 100 ms later
//   - "well" has no fault
//
// As "testbed" it is no node, but opens a test bed of its own, prints the process IDs of its nodes and waits to be
// killed.
func runStubNode(behavior string) {
	if behavior == "testbed" {
		_ = os.Setenv("TESTBED_TEST_AS", "well")
		w := small(2, 1)
		w.Binary = os.Args[0]
		tb, err := Open(context.Background(), w)
		if err != nil {
			fmt.Println("failed", err)
			return
		}
		for _, n := range tb.Nodes() {
			fmt.Println(n.process.cmd.Process.Pid)
		}
		select {}
	}
	var cfg struct {
		Listen, Discovery string
		Known             endpointUpdate
	}
	text, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err == nil {
		err = json.Unmarshal(text, &cfg)
	}
	if err != nil {
		panic(err)
	}
	if behavior == "mute" {
		fmt.Println("mute as planted")
		select {}
	}
	go func() {
		if resp, err := http.Get("http://" + cfg.Discovery + "/v1/endpoints?watch=1&from=0"); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	}()
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		panic(err)
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go serveStubNode(c, behavior, cfg.Known.Hosts)
	}
}

// serveStubNode serves one connection of a stub node.
func serveStubNode(c net.Conn, behavior string, hosts []endpointEntry) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // a request whose body did not arrive completely is not forwarded
		}
		switch {
		case r.URL.Path == "/ready":
		case behavior == "overtell":
			r.Header.Set("X-Budget", "3600000m")
		case behavior == "linger":
			r.Header.Set("X-Budget", "100m")
			time.Sleep(700 * time.Millisecond)
		case behavior == "repeat":
			r.Header.Set("X-Budget", "100m")
		case behavior == "swallow":
			return
		case behavior == "give back":
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			time.Sleep(100 * time.Millisecond)
		}
		if r.URL.Path == "/ready" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			return
		}
		answer := forward(r, hosts[0])
		if behavior == "resend" && r.Method == "POST" {
			forward(r, hosts[len(hosts)-1])
		}
		if behavior == "repeat" {
			time.Sleep(2 * plantedWindow)
			forward(r, hosts[len(hosts)-1])
		}
		if behavior == "lose" {
			return
		}
		out := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		if behavior == "twice" {
			out += out
		}
		if _, err := io.WriteString(c, out); err != nil {
			return
		}
	}
}

// forward sends a request to a server and returns the body of the answer, or "" on an error.
func forward(r *http.Request, h endpointEntry) string {
	out, err := http.NewRequest(r.Method, "http://"+h.Dial+"/api", nil)
	if err != nil {
		return ""
	}
	out.Header = r.Header.Clone()
	resp, err := http.DefaultClient.Do(out)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

const plantedWindow = 200 * time.Millisecond // deduplication window of keyed requests

// The checker reports each planted fault under the rule that it violates, and nothing without a planted fault. A run in
// which the test bed itself was so late that all findings are void is repeated; any other run must report the fault.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	for behavior, want := range map[string]Rule{
		"well":      "",
		"twice":     AnsweredTwice,
		"resend":    DuplicateExecution,
		"lose":      Lost,
		"drained":   SentToDraining,
		"overtell":  BudgetTooLong,
		"linger":    SentAfterDisconnect,
		"repeat":    RetryAfterWindow,
		"swallow":   Lost,
		"give back": ForwardedUnread,
	} {
		t.Run(behavior, func(t *testing.T) {
			t.Parallel()
			end := time.Now().Add(waitTimeout)
			for n, late := 1, true; late; n++ {
				if time.Now().After(end) {
					t.Fatalf("the test bed was late in each of %d runs", n-1)
				}
				t.Run(fmt.Sprint("run", n), func(t *testing.T) { late = plantedFault(t, behavior, want) })
			}
		})
	}
}

// plantedFault runs a load against a stub node and checks the findings. It reports whether the test bed was so late
// that all findings are void. In any other run, wrong findings fail the test.
func plantedFault(t *testing.T, behavior string, want Rule) (late bool) {
	w := small(1, 2)
	w.Binary, w.Env, w.Zones = os.Args[0], []string{"TESTBED_TEST_AS=" + behavior}, []string{"a"}
	w.Discovery.NotificationDelay = time.Millisecond
	w.Classes = w.Classes[:plantedClassCount(behavior)]
	if behavior == "repeat" {
		w.Classes[0].Effect, w.Classes[0].Window = "idempotency_key", plantedWindow
	}
	length := time.Second
	if behavior == "drained" {
		length = drainDeadline + 2*time.Second
	}
	tb := Start(t, w)
	load, arrivals := draw(t, &tb.world, Load{Rate: 40,
		EarlyDisconnectShare: map[string]float64{"linger": 1}[behavior]}, length)
	if behavior == "drained" {
		for _, s := range tb.servers { // all, as it depends on the list which one the stub uses
			tb.Drain(s, 0)
		}
	}
	var got tally
	tb.Drive(context.Background(), &load, arrivals, got.add)
	found, counts := tb.Findings()
	switch {
	case want == "":
		checkNoFindings(t, tb)
	case len(counts) == 0 && tb.Void(0, tb.now()):
		t.Logf("the test bed was %v late: %d findings are void", tb.Lateness(0, tb.now()), len(found))
		return true
	case counts[want] == 0 || len(counts) > 1:
		t.Errorf("got findings %v, want only %q; ends of arrivals %v", counts, want, got.ends)
	}
	return false
}

// plantedClassCount returns the number of classes in the load of a planted fault. Some faults are tested without
// bookings: a second attempt of a booking, which is not idempotent, would violate another rule too.
func plantedClassCount(behavior string) int {
	if behavior == "repeat" || behavior == "give back" {
		return 1
	}
	return 2
}

// The checker must report an improper client if the node neither answers it nor closes its connection.
func TestCheckerFindsKeptImproperClients(t *testing.T) {
	tb := Start(t, healthyStub()) // the stub waits for complete requests without a time limit
	tb.runImproperClients(context.Background(), tb.Node("n1"), 4)
	if found, counts := tb.Checker().Findings(); counts[ImproperClientKept] == 0 || len(counts) > 1 {
		t.Errorf("got findings %v, want only improper clients kept", found)
	}
}

// healthyStub returns a world with one stub node that has no fault.
func healthyStub() World {
	w := small(1, 2)
	w.Binary, w.Env = os.Args[0], []string{"TESTBED_TEST_AS=well"}
	return w
}
