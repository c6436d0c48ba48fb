package testbed

import (
	"context"
	"fmt"
	"net"
	"strconv"
)

// populate creates the servers, the nodes, the front and the clients.
func (tb *Testbed) populate() error {
	if err := tb.addServers(); err != nil {
		return err
	}
	fronts, err := tb.addFrontNodes()
	if err != nil {
		return err
	}
	if err := tb.addServerNodes(); err != nil {
		return err
	}
	tb.front = newFront(tb, fronts)
	for _, z := range tb.world.Zones {
		tb.clients = append(tb.clients, &client{
			testbed:   tb,
			name:      clientsOf(z),
			checkBody: !tb.world.TrustNodes,
			dial:      tb.front.dial(z),
		})
	}
	return nil
}

func (tb *Testbed) addServers() error {
	for t, tier := range tb.world.Tiers {
		n := 0
		for z, count := range tier.PerZone {
			for range count {
				n++
				s, err := newServer(tb, fmt.Sprintf("%s-%d", tier.Name, n), tb.world.Zones[z], t)
				if err != nil {
					return err
				}
				tb.servers[s.name] = s
				tb.discovery.publish(t, s.entry(), 0)
			}
		}
	}
	return nil
}

func (tb *Testbed) addFrontNodes() (nodes []*Node, err error) {
	zones := tb.world.Zones
	for i := range tb.world.Tiers[0].Nodes {
		n, err := tb.newNode("n"+strconv.Itoa(i+1), zones[i%len(zones)], 0, i)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// addServerNodes gives each server of all tiers but the last a node of its own, and a client of that node.
func (tb *Testbed) addServerNodes() error {
	tiers := tb.world.Tiers
	for t, tier := range tiers[:len(tiers)-1] {
		for i := range tier.Servers {
			s := tb.servers[fmt.Sprintf("%s-%d", tier.Name, i+1)]
			n, err := tb.newNode(NodeOf(s.name), s.zone, t+1, i)
			if err != nil {
				return err
			}
			s.node = n
			s.nextTier = &client{
				testbed:   tb,
				name:      s.name,
				checkBody: true,
				dial:      tb.dialNode(s.name, n),
			}
		}
	}
	return nil
}

// dialNode returns a function that connects a client or server of the world to a node.
func (tb *Testbed) dialNode(from string, n *Node) func(context.Context) (net.Conn, string, error) {
	return func(ctx context.Context) (net.Conn, string, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", tb.nodeAddr(from, n))
		return c, n.name, err
	}
}
