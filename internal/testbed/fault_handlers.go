package testbed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// RunSchedule applies steps at their times, counted from now. It calls report for each step and for each failure, from
// several goroutines, and returns when all steps are complete or ctx is cancelled.
func (tb *Testbed) RunSchedule(ctx context.Context, steps []Step, report func(at time.Duration, what string)) {
	started := tb.now()
	var running sync.WaitGroup
	defer running.Wait()
	for _, s := range steps {
		if !sleepUntil(tb.began.Add(started+s.At), ctx.Done()) {
			return
		}
		report(tb.now()-started, s.String())
		running.Add(1)
		go func() { // some steps last until a node is ready again
			defer running.Done()
			if err := tb.Apply(ctx, s); err != nil && ctx.Err() == nil {
				report(tb.now()-started, fmt.Sprintf("%s: %v", s, err))
			}
		}()
	}
}

// Apply applies one step now.
func (tb *Testbed) Apply(ctx context.Context, s Step) error {
	kind, ok := traitsOfKind[s.Fault.Kind]
	switch {
	case !ok:
		return nil
	case kind.zones:
		return tb.applyZoneFault(ctx, s)
	case kind.nodes:
		return tb.applyNodeFault(ctx, tb.nodes[s.Target], s)
	case kind.servers:
		return tb.applyServerFault(ctx, tb.servers[s.Target], s)
	case kind.link:
		return tb.applyLinkFault(s)
	}
	tb.applyDiscoveryFault(s)
	return nil
}

// applyNodeFault applies a step of a fault whose target is a node.
func (tb *Testbed) applyNodeFault(ctx context.Context, node *Node, s Step) error {
	switch s.Fault.Kind {
	case FaultKill:
		if s.Ends {
			return node.restart(ctx)
		}
		node.Kill()
	case FaultTerminate:
		return tb.terminateAndRestart(ctx, node, s.Fault)
	case FaultSignals:
		return tb.sendSignals(ctx, node, s.Fault)
	case FaultStop:
		if s.Ends {
			return node.Continue()
		}
		return node.Stop()
	case FaultPause:
		for range max(1, s.Fault.Pick) {
			if err := node.Pause(s.Fault.For); err != nil || !sleep(ctx, s.Fault.For) {
				return nil // the process has exited meanwhile
			}
		}
	case FaultReload:
		return node.Reload()
	case FaultImproperClients:
		tb.runImproperClients(ctx, node, s.Fault.Pick)
	case FaultConnectionFlood:
		tb.runConnectionFlood(ctx, node, s.Fault.Pick, s.Fault.For)
	}
	return nil
}

// applyServerFault applies a step of a fault whose target is a server.
func (tb *Testbed) applyServerFault(ctx context.Context, server *Server, s Step) error {
	switch s.Fault.Kind {
	case FaultCrash:
		if s.Ends {
			return tb.revive(ctx, server)
		}
		server.crash()
	case FaultSlow, FaultErrors, FaultHang, FaultCorruptResponses:
		server.SetFault(serverFaultOf(s))
	case FaultSilent:
		server.setSilent(!s.Ends)
	case FaultDrain:
		tb.Drain(server, s.Fault.For)
	case FaultReplace:
		if s.Ends {
			server.crash()
			return tb.revive(ctx, server)
		}
		tb.Drain(server, 0)
	}
	return nil
}

// serverFaultOf returns the fault that a server is to have after a step.
func serverFaultOf(s Step) ServerFault {
	if s.Ends {
		return ServerFault{}
	}
	fault := ServerFault{
		Slow: s.Fault.Factor,
		Hang: s.Fault.Kind == FaultHang,
	}
	if s.Fault.Kind == FaultCorruptResponses {
		fault.CorruptResponses = s.Fault.Share
	} else {
		fault.Errors = s.Fault.Share
	}
	return fault
}

// applyDiscoveryFault applies a step of a fault of discovery.
func (tb *Testbed) applyDiscoveryFault(s Step) {
	switch s.Fault.Kind {
	case FaultDiscoveryMute:
		tb.discovery.mute()
	case FaultDiscoveryRenumber:
		tb.discovery.renumber(s.Fault.Factor > 1)
	default:
		tb.SetDiscoveryFault(discoveryFaultOf(s))
	}
}

// discoveryFaultOf returns the fault that discovery is to have after a step.
func discoveryFaultOf(s Step) DiscoveryFault {
	if s.Ends {
		return DiscoveryFault{}
	}
	kind := s.Fault.Kind
	return DiscoveryFault{
		Down:         kind == FaultDiscoveryDown,
		Fail:         kind == FaultDiscoveryFail,
		Slow:         s.Fault.Delay,
		Unresponsive: kind == FaultDiscoveryUnresponsive,
		Trickle:      kind == FaultDiscoveryTrickle,
		Cut:          kind == FaultDiscoveryCut,
		Indent:       kind == FaultDiscoveryIndent,
	}
}

var errNoLink = errors.New("no link with a proxy matches the patterns from and to")

// applyLinkFault applies a step of a fault of links.
func (tb *Testbed) applyLinkFault(s Step) error {
	f := s.Fault
	if f.Kind == FaultReset {
		if tb.ResetLink(f.From, f.To) == 0 {
			return errNoLink
		}
		return nil
	}
	condition := linkConditionOf(s)
	n := tb.SetLink(f.From, f.To, condition)
	if f.Kind == FaultSplit {
		n += tb.SetLink(f.To, f.From, condition)
	}
	if n == 0 {
		return errNoLink
	}
	return nil
}

// linkConditionOf returns the condition that a direction of a link is to have after a step.
func linkConditionOf(s Step) LinkCondition {
	if s.Ends {
		return LinkCondition{}
	}
	f := s.Fault
	return LinkCondition{
		Delay:   f.Delay,
		Jitter:  f.Jittered,
		Loss:    f.Loss,
		Dup:     f.Dup,
		Reorder: f.Reorder,
		Rate:    f.Rate,
		Cut:     f.Kind != FaultLink,
	}
}

// restart starts a node whose process has exited, and waits until it is ready.
func (n *Node) restart(ctx context.Context) error {
	if err := n.Start(); err != nil {
		return err
	}
	return n.AwaitReady(ctx)
}

// revive starts a crashed server again, and publishes it in discovery once its node is ready.
func (tb *Testbed) revive(ctx context.Context, s *Server) error {
	if err := s.restart(); err != nil {
		return err
	}
	if s.node != nil {
		if err := s.node.AwaitReady(ctx); err != nil {
			return err
		}
	}
	tb.discovery.publish(s.tier, s.entry(), -1)
	return nil
}

// applyZoneFault makes all servers of a zone silent, or starts them again in slow start. With Fault.Nodes it also
// stops or restarts the zone's front nodes.
func (tb *Testbed) applyZoneFault(ctx context.Context, s Step) error {
	var servers []*Server
	for _, server := range tb.servers {
		if server.zone == s.Target {
			servers = append(servers, server)
		}
	}
	if s.Fault.Nodes {
		if err := tb.applyZoneFaultToNodes(ctx, s); err != nil {
			return err
		}
	}
	if s.Ends {
		tb.restoreZone(ctx, servers)
		return nil
	}
	for _, server := range servers {
		tb.loseServer(server, s.Fault.Late)
	}
	return nil
}

// applyZoneFaultToNodes stops the front nodes of a zone, or replaces their processes by new ones.
func (tb *Testbed) applyZoneFaultToNodes(ctx context.Context, s Step) error {
	for _, n := range tb.front.nodes {
		if n.zone != s.Target {
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
		tb.startGoroutine(func() { _ = n.AwaitReady(ctx) }) // on an error the node gets no clients: it is not ready
	}
	return nil
}

// loseServer makes a server silent and stops its node. Discovery removes the server after the time late plus its own
// publication delay.
func (tb *Testbed) loseServer(server *Server, late time.Duration) {
	server.setSilent(true)
	if server.node != nil {
		_ = server.node.Stop() // fails if its process has exited
	}
	removed := server.entry()
	removed.Health = healthRemoved
	tb.discovery.publish(server.tier, removed, late+tb.discovery.publishDelay)
}

// restoreZone restarts the servers of a zone concurrently, and waits until all have been started.
func (tb *Testbed) restoreZone(ctx context.Context, servers []*Server) {
	var restarts sync.WaitGroup
	for _, server := range servers {
		restarts.Add(1)
		go func() {
			defer restarts.Done()
			server.crash()
			_ = tb.revive(ctx, server) // if its node fails to start, that is reported as a separate finding
		}()
	}
	restarts.Wait()
}
