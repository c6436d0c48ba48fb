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

// runStubNode stands in for the node program, with one planted fault: "twice" answers twice, "resend" sends bookings
// again, "lose" ends a connection without an answer, "drained" goes on sending to a server that drains, "mute" never
// listens. "overtell" gives servers an hour, "linger" forwards 0.7 s late, also after a disconnect, "repeat" sends
// keyed requests again when servers do not discard them any more, "swallow" reads and closes, "give back" resets a
// connection and sends on. "testbed" is another program: a testbed of its own that says its children's ids and waits
// to be killed.
func runStubNode(as string) {
	if as == "testbed" {
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
	if as == "mute" {
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
		go serveStubNode(c, as, cfg.Known.Hosts)
	}
}

func serveStubNode(c net.Conn, as string, hosts []endpointEntry) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // a request whose body never came is not forwarded
		}
		switch {
		case r.URL.Path == "/ready":
		case as == "overtell":
			r.Header.Set("X-Budget", "3600000m")
		case as == "linger":
			r.Header.Set("X-Budget", "100m")
			time.Sleep(700 * time.Millisecond)
		case as == "repeat":
			r.Header.Set("X-Budget", "100m")
		case as == "swallow":
			return
		case as == "give back":
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			time.Sleep(100 * time.Millisecond)
		}
		if r.URL.Path == "/ready" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			return
		}
		answer := forward(r, hosts[0])
		if as == "resend" && r.Method == "POST" {
			forward(r, hosts[len(hosts)-1])
		}
		if as == "repeat" {
			time.Sleep(2 * plantedWindow)
			forward(r, hosts[len(hosts)-1])
		}
		if as == "lose" {
			return
		}
		out := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		if as == "twice" {
			out += out
		}
		if _, err := io.WriteString(c, out); err != nil {
			return
		}
	}
}

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

const plantedWindow = 200 * time.Millisecond // for repeats of keyed requests

// The checker finds each planted fault by its name, and nothing where none is planted. A run in which the testbed
// itself was late proves nothing, by its own rule, and is run again; one that was not must show the fault.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	for as, want := range map[string]Rule{
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
		t.Run(as, func(t *testing.T) {
			t.Parallel()
			end := time.Now().Add(longEnough)
			for n, late := 1, true; late; n++ {
				if time.Now().After(end) {
					t.Fatalf("the testbed was late on each of %d runs", n-1)
				}
				t.Run(fmt.Sprint("run", n), func(t *testing.T) { late = plantedFault(t, as, want) })
			}
		})
	}
}

// plantedFault runs a load with one fault. It reports whether the testbed was too late for the checker to hold
// anything against the node; all that it did hold against it counts.
func plantedFault(t *testing.T, as string, want Rule) (late bool) {
	w := small(1, 2)
	w.Binary, w.Env, w.Zones = os.Args[0], []string{"TESTBED_TEST_AS=" + as}, []string{"a"}
	w.Discovery.Late = time.Millisecond
	w.Classes = w.Classes[:plantedClasses(as)]
	if as == "repeat" {
		w.Classes[0].Effect, w.Classes[0].Window = "idempotency_key", plantedWindow
	}
	length := time.Second
	if as == "drained" {
		length = drainWithin + 2*time.Second
	}
	tb := Start(t, w)
	load, arrivals := draw(t, &tb.world, Load{Rate: 40, Impatient: map[string]float64{"linger": 1}[as]}, length)
	if as == "drained" {
		for _, s := range tb.servers { // whichever the stub node knows first
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
		t.Logf("the testbed was %v late: %d findings are void", tb.Lateness(0, tb.now()), len(found))
		return true
	case counts[want] == 0 || len(counts) > 1:
		t.Errorf("found %v, want %q alone; ends %v", counts, want, got.ends)
	}
	return false
}

// plantedClasses is how many classes the load of a planted fault has: a second attempt of a booking would break
// another rule.
func plantedClasses(as string) int {
	if as == "repeat" || as == "give back" {
		return 1
	}
	return 2
}

// An improper client that a node keeps is found.
func TestCheckerFindsKeptImproperClients(t *testing.T) {
	tb := Start(t, healthyStub()) // waits for complete heads without a time limit
	tb.runImproperClients(context.Background(), tb.Node("n1"), 4)
	if found, counts := tb.Checker().Findings(); counts[ImproperClientKept] == 0 || len(counts) > 1 {
		t.Errorf("found %v", found)
	}
}

// healthyStub is a world with one stub node that has no fault.
func healthyStub() World {
	w := small(1, 2)
	w.Binary, w.Env = os.Args[0], []string{"TESTBED_TEST_AS=well"}
	return w
}
