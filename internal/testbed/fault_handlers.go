// Carrying a schedule of faults out.

package testbed

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Run carries out steps at their times, counted from now. told is called for each, and of what went wrong. It returns when
// the last is done, or once ctx ends.
func (tb *Testbed) RunSchedule(ctx context.Context, steps []Step, report func(at time.Duration, what string)) {
	began := tb.now()
	var late sync.WaitGroup
	defer late.Wait()
	for _, s := range steps {
		if !sleepUntil(tb.began.Add(began+s.At), ctx.Done()) {
			return
		}
		report(tb.now()-began, s.String())
		late.Add(1)
		go func() { // some take a while: a node that is to be ready again
			defer late.Done()
			if err := tb.Apply(ctx, s); err != nil && ctx.Err() == nil {
				report(tb.now()-began, fmt.Sprintf("%s: %v", s, err))
			}
		}()
	}
}

// Apply carries out one step now.
func (tb *Testbed) Apply(ctx context.Context, s Step) error {
	f := s.Fault
	node, server := tb.nodes[s.Target], tb.servers[s.Target]
	switch f.Kind {
	case "kill":
		if !s.Ends {
			node.Kill()
			return nil
		}
		return node.restart(ctx)
	case "term":
		if node.Terminate() {
			tb.checker.addFinding(Crash, "", node.name, "did not end in time after SIGTERM")
		}
		if !sleep(ctx, f.For) {
			return nil
		}
		return node.restart(ctx)
	case "stop":
		if !s.Ends {
			return node.Stop()
		}
		return node.Continue()
	case "crash":
		if !s.Ends {
			server.crash()
			return nil
		}
		return tb.revive(ctx, server)
	case "hold":
		for range max(1, f.Pick) {
			if err := node.Pause(f.For); err != nil || !sleep(ctx, f.For) {
				return nil // it has ended meanwhile
			}
		}
	case "reload":
		return node.Reload()
	case "peers":
		tb.runImproperClients(ctx, node, f.Pick)
	case "slow", "errors", "hang", "spoil":
		t := ServerFault{}
		if !s.Ends {
			t = ServerFault{Slow: f.Factor, Hang: f.Kind == "hang"}
			if f.Kind == "spoil" {
				t.CorruptResponses = f.Share
			} else {
				t.Errors = f.Share
			}
		}
		server.Set(t)
	case "silent":
		server.silence(!s.Ends)
	case "drain":
		tb.Drain(server, f.For)
	case "replace":
		if !s.Ends {
			tb.Drain(server, 0)
			return nil
		}
		server.crash()
		return tb.revive(ctx, server)
	case "zone":
		return tb.zone(ctx, s)
	case "cut", "split", "link":
		return tb.linkFault(s)
	case "reset":
		if tb.ResetLink(f.From, f.To) == 0 {
			return errNoLink
		}
	case "disc_down", "disc_fail", "disc_slow", "disc_dumb", "disc_trickle", "disc_cut", "disc_indent":
		o := DiscoveryFault{}
		if !s.Ends {
			o = DiscoveryFault{Down: f.Kind == "disc_down", Fail: f.Kind == "disc_fail", Slow: f.Delay, Unresponsive: f.Kind == "disc_dumb",
				Trickle: f.Kind == "disc_trickle", Cut: f.Kind == "disc_cut", Indent: f.Kind == "disc_indent"}
		}
		tb.Discovery(o)
	case "disc_mute":
		tb.disc.mute()
	case "disc_renumber":
		tb.disc.renumber(f.Factor > 1)
	}
	return nil
}

var errNoLink = fmt.Errorf("no link of the world matches")

func (tb *Testbed) linkFault(s Step) error {
	f := s.Fault
	c := LinkCondition{Delay: f.Delay, Jitter: f.Jittered, Loss: f.Loss, Dup: f.Dup, Reorder: f.Reorder, Rate: f.Rate, Cut: f.Kind != "link"}
	if s.Ends {
		c = LinkCondition{}
	}
	n := tb.SetLink(f.From, f.To, c)
	if f.Kind == "split" {
		n += tb.SetLink(f.To, f.From, c)
	}
	if n == 0 {
		return errNoLink
	}
	return nil
}

// restart starts a node that has ended and waits until it is ready.
func (n *Node) restart(ctx context.Context) error {
	if err := n.Start(); err != nil {
		return err
	}
	return n.Up(ctx)
}

// revive starts a crashed server again, and lists it once its node is ready.
func (tb *Testbed) revive(ctx context.Context, s *Server) error {
	if err := s.restart(); err != nil {
		return err
	}
	if s.node != nil {
		if err := s.node.Up(ctx); err != nil {
			return err
		}
	}
	tb.disc.publish(s.tier, s.entry(), -1)
	return nil
}

// zone takes a whole zone away, or brings it back cold.
func (tb *Testbed) zone(ctx context.Context, s Step) error {
	var inside []*Server
	for _, server := range tb.servers {
		if server.zone == s.Target {
			inside = append(inside, server)
		}
	}
	for _, n := range tb.front.nodes {
		if n.zone != s.Target || !s.Fault.Nodes {
			continue
		}
		if !s.Ends {
			if err := n.Stop(); err != nil {
				return err
			}
			continue
		}
		n.Kill()
		if err := n.Start(); err != nil {
			return err
		}
		tb.own(func() { n.Up(ctx) }) // the front sees it anyway
	}
	for _, server := range inside {
		if !s.Ends {
			server.silence(true)
			if server.node != nil {
				server.node.Stop() // fails where it has ended
			}
			removed := server.entry()
			removed.Health = "terminated"
			tb.disc.publish(server.tier, removed, s.Fault.Late+tb.disc.late)
		}
	}
	if !s.Ends {
		return nil
	}
	var all sync.WaitGroup
	for _, server := range inside {
		all.Add(1)
		go func() {
			defer all.Done()
			server.crash()
			tb.revive(ctx, server) // a node that does not come back is a finding of its own
		}()
	}
	all.Wait()
	return nil
}
