package testbed

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Timing of the clients of a connection flood.
const (
	floodSpacing  = 2 * time.Millisecond // between the starts of two clients
	floodPause    = 2 * time.Second      // between two requests, or two connections, of a client
	headByteEvery = 200 * time.Millisecond
	minLeaveAfter = time.Millisecond
	maxLeaveAfter = 50 * time.Millisecond
	requestPause  = 20 * time.Millisecond // between two requests of a persistent client
)

// incompleteHead is what a client that never completes a request head sends, byte by byte.
const incompleteHead = "GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Call-Class: "

// nodeClient returns a client that connects to one node only and shares no connections.
func (tb *Testbed) nodeClient(n *Node, name string) *client {
	return &client{
		testbed:   tb,
		name:      clientsOf(n.zone),
		checkBody: !tb.world.TrustNodes,
		idPrefix:  name,
		dial:      tb.dialNode(clientsOf(n.zone), n),
	}
}

// send sends a client's request of a given number, which also selects its ID and class, and waits for its end. With a
// leaveAfter above 0 the client disconnects after that time.
func (c *client) send(ctx context.Context, number int, leaveAfter time.Duration) {
	class := &c.testbed.world.Classes[number%len(c.testbed.world.Classes)]
	from := c.testbed.now()
	req := clientRequest{
		id:       subID(c.idPrefix, number),
		class:    class,
		deadline: from + class.Deadline,
	}
	if len(c.testbed.world.Tenants) > 0 {
		req.tenant = c.testbed.world.Tenants[0].Name
	}
	if leaveAfter > 0 {
		req.disconnectAt = from + leaveAfter
	}
	c.do(ctx, req)
}

// startPersistentClients starts clients that send one request after another to a node. Each client reuses one
// connection for as long as the node keeps it open. The function returns once the first request of each client has
// ended. stop ends the clients after their requests in flight have ended.
func (tb *Testbed) startPersistentClients(ctx context.Context, n *Node, count int) (stop func()) {
	sending, cancel := context.WithCancel(ctx)
	var all, connected sync.WaitGroup
	began := tb.now()
	for i := range count {
		all.Add(1)
		connected.Add(1)
		go func() { // ends with stop
			defer all.Done()
			c := tb.nodeClient(n, fmt.Sprintf("persistent %s %d %d", n.name, began, i))
			defer c.close()
			c.send(ctx, 0, 0)
			connected.Done()
			for number := 1; sleep(sending, requestPause); number++ {
				c.send(ctx, number, 0)
			}
		}()
	}
	connected.Wait()
	return func() {
		cancel()
		all.Wait()
	}
}

// runConnectionFlood runs count clients, each with one connection at a time to a node, for the time lasts. Of five
// clients, three pause between requests, one never completes a request head, and one disconnects 1 to 50 ms after it
// has sent a request.
func (tb *Testbed) runConnectionFlood(ctx context.Context, n *Node, count int, lasts time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, lasts)
	defer cancel()
	began := tb.now()
	var all sync.WaitGroup
	defer all.Wait()
	for i := range count {
		all.Add(1)
		go func() {
			defer all.Done()
			name := fmt.Sprintf("crowd %s %d %d", n.name, began, i)
			switch i % 5 {
			case 0:
				tb.runIncompleteClient(ctx, n)
			case 1:
				leaveAfter := minLeaveAfter + time.Duration(tb.seededRandom(name, "leave")*float64(maxLeaveAfter-minLeaveAfter))
				tb.runIntermittentClient(ctx, n, name, leaveAfter)
			default:
				tb.runIntermittentClient(ctx, n, name, 0)
			}
		}()
		if !sleep(ctx, floodSpacing) {
			return
		}
	}
}

// runIntermittentClient sends requests on one connection with a pause between them. If leaveAfter is above 0, it
// disconnects that long after it has sent each request.
func (tb *Testbed) runIntermittentClient(ctx context.Context, n *Node, name string, leaveAfter time.Duration) {
	c := tb.nodeClient(n, name)
	defer c.close()
	for number := 0; ctx.Err() == nil; number++ {
		// The end of the flood does not cancel a request, so that the checker still applies the request's own deadline.
		c.send(context.WithoutCancel(ctx), number, leaveAfter)
		if !sleep(ctx, floodPause) {
			return
		}
	}
}

// runIncompleteClient connects again and again, and each time sends a request head byte by byte and never completes it.
func (tb *Testbed) runIncompleteClient(ctx context.Context, n *Node) {
	for ctx.Err() == nil {
		tb.sendIncompleteHead(ctx, n)
		if !sleep(ctx, floodPause) {
			return
		}
	}
}

func (tb *Testbed) sendIncompleteHead(ctx context.Context, n *Node) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", n.ListenAddr())
	if err != nil {
		return
	}
	defer closeQuietly(c)
	for i := range len(incompleteHead) {
		if _, err := io.WriteString(c, incompleteHead[i:i+1]); err != nil || !sleep(ctx, headByteEvery) {
			return
		}
	}
}
