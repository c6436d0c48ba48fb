package testbed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	improperClientTimeout = 3 * time.Second // limit for a node to send an error or close the connection
	improperClientSpacing = 2 * time.Millisecond
	// a node whose system calls are traced by a shim may accept a connection this much later
	shimDelay = time.Second
)

// improperRequest is what one kind of improper client sends, and whether the client then stays connected.
type improperRequest struct {
	name           string
	text           string
	staysConnected bool
}

// improperRequests returns one request of each kind. None is complete, so a node must forward none of them to a server.
func improperRequests(class string) []improperRequest {
	head := "POST /api HTTP/1.1\r\nHost: s\r\nX-Call-Id: improper\r\nX-Call-Class: " + class + "\r\nX-Budget: 5000m\r\n"
	return []improperRequest{
		{"nothing", "", true},
		{"half a line", "POST /a", true},
		{"half a head", head, true},
		{"half a body", head + "Content-Length: 60000\r\n\r\n" + strings.Repeat("x", 50000), true},
		{"half a long body", head + "Content-Length: 3000000\r\n\r\n" + strings.Repeat("x", 1500000), true},
		{"half a chunk", head + "Transfer-Encoding: chunked\r\n\r\nff\r\nxx", true},
		{"no HTTP", strings.Repeat("\x00\x01\x02\r\n", 100), true},
		{"a flood that goes", head + "Content-Length: 4000000\r\n\r\n" + strings.Repeat("x", 200000), false},
		{"half a head that goes", head, false},
	}
}

// runImproperClients connects a number of improper clients of all kinds to a node, 2 ms apart, and waits until all have
// ended.
func (tb *Testbed) runImproperClients(ctx context.Context, n *Node, count int) {
	kinds := improperRequests(tb.world.Classes[len(tb.world.Classes)-1].Name)
	var all sync.WaitGroup
	defer all.Wait()
	for i := range count {
		all.Add(1)
		go func() {
			defer all.Done()
			tb.runImproperClient(n, kinds[i%len(kinds)])
		}()
		if !sleep(ctx, improperClientSpacing) {
			return
		}
	}
}

// runImproperClient runs one improper client, and reports a finding if the node neither answers it nor closes its
// connection in time. A node that a fault affects meanwhile is excused.
func (tb *Testbed) runImproperClient(n *Node, kind improperRequest) {
	from := tb.now()
	c, err := net.DialTimeout("tcp", n.ListenAddr(), time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetWriteDeadline(time.Now().Add(improperClientTimeout))
	_, err = c.Write([]byte(kind.text))
	if err != nil || !kind.staysConnected {
		return
	}
	stopped := tb.now()
	replyTimeout := improperClientTimeout + 2*slack
	if _, shimmed := tb.world.Shims[n.name]; shimmed {
		replyTimeout += shimDelay
	}
	_ = c.SetReadDeadline(time.Now().Add(replyTimeout))
	_, err = c.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) && !tb.intervals.overlap(n.name, from, tb.now()) {
		tb.checker.Report(
			ImproperClientKept,
			n.name,
			fmt.Sprintf("%s: neither an error nor a close %.0f ms after it stopped", kind.name, ms(tb.now()-stopped)),
		)
	}
}
