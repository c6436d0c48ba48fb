package testbed

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Times of the clients of a connection flood.
const (
	floodSpacing  = 2 * time.Millisecond // between two that connect
	floodPause    = 2 * time.Second      // of a client between two requests, or two connections
	headByteEvery = 200 * time.Millisecond
	minLeaveAfter = time.Millisecond
	maxLeaveAfter = 50 * time.Millisecond
	requestPause  = 20 * time.Millisecond // of a persistent client
)

// incompleteHead is what a client sends byte by byte that never completes a head.
const incompleteHead = "GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Call-Class: "

// nodeClient is a client of one node alone, with connections that no other uses.
func (tb *Testbed) nodeClient(n *Node, name string) *client {
	return &client{
		testbed:   tb,
		name:      clientsOf(n.zone),
		checkBody: !tb.world.TrustNodes,
		idPrefix:  name,
		dial:      tb.dialNode(clientsOf(n.zone), n),
	}
}

// send sends the next request of a client, of the class whose turn it is. One that disconnects does so a while after.
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

// startPersistentClients starts clients that send one request after another to a node, each on a connection of its own
// as long as that stays open, and returns once each has had an answer. stop ends them, their last requests answered or
// given up as any other.
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

// runConnectionFlood fills the connections of a node for a while. Of five clients three rest between requests, one
// never completes a head, and one leaves before its answer.
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
				leaveAfter := minLeaveAfter + time.Duration(tb.drawn(name, "leave")*float64(maxLeaveAfter-minLeaveAfter))
				tb.runRestingClient(ctx, n, name, leaveAfter)
			default:
				tb.runRestingClient(ctx, n, name, 0)
			}
		}()
		if !sleep(ctx, floodSpacing) {
			return
		}
	}
}

// runRestingClient sends a request now and then on a connection that it keeps; with leaveAfter it leaves before each
// answer.
func (tb *Testbed) runRestingClient(ctx context.Context, n *Node, name string, leaveAfter time.Duration) {
	c := tb.nodeClient(n, name)
	defer c.close()
	for number := 0; ctx.Err() == nil; number++ {
		// A request ends by its own deadline, also after the flood's end: the checker holds it to that.
		c.send(context.WithoutCancel(ctx), number, leaveAfter)
		if !sleep(ctx, floodPause) {
			return
		}
	}
}

// runIncompleteClient connects again and again, and sends a head byte by byte that it never completes.
func (tb *Testbed) runIncompleteClient(ctx context.Context, n *Node) {
	for ctx.Err() == nil {
		tb.sendIncompleteHead(ctx, n)
		if !sleep(ctx, floodPause) {
			return
		}
	}
}

func (tb *Testbed) sendIncompleteHead(ctx context.Context, n *Node) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", n.Listen())
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
