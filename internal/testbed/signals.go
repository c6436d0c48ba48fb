package testbed

import (
	"context"
	"syscall"
	"time"
)

// Signal is a signal to a node's process; its values are words of the experiment files.
type Signal string

// The signals.
const (
	SignalTerminate Signal = "term"
	SignalReload    Signal = "hup" // with a new configuration
	SignalStop      Signal = "stop"
	SignalContinue  Signal = "cont"
)

var signalNumbers = map[Signal]syscall.Signal{
	SignalTerminate: syscall.SIGTERM,
	SignalReload:    syscall.SIGHUP,
	SignalStop:      syscall.SIGSTOP,
	SignalContinue:  syscall.SIGCONT,
}

// The platform's times of a restart.
const (
	maxDeadlineBeforeKill = 3 * time.Second
	killGrace             = 700 * time.Millisecond // between SIGTERM and SIGKILL, on top of the longest deadline
	minUptimeForReload    = time.Second            // no SIGHUP comes before
)

// killDelay is how soon after SIGTERM the platform may kill a node: the earliest that it promises.
func (w *World) killDelay() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxDeadlineBeforeKill) + killGrace
}

// Terminate sends SIGTERM and waits for the end, which it brings by SIGKILL as early as the platform may. It reports
// whether that was needed.
func (n *Node) Terminate() (killed bool) {
	_ = n.process.signal(syscall.SIGTERM) // fails only where it has ended
	return n.awaitEnd(time.Now().Add(n.testbed.world.killDelay()))
}

// awaitEnd waits for the end of a process that was sent SIGTERM, and brings it by SIGKILL at a time. It reports whether
// that was needed.
func (n *Node) awaitEnd(killAt time.Time) (killed bool) {
	_, exited := n.process.running()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	case <-time.After(time.Until(killAt)):
	}
	n.process.kill()
	n.testbed.intervals.begin(n.name, n.testbed.now())
	return true
}

// terminateAndRestart ends a node with SIGTERM, while clients send on their connections to it, and starts it again
// after a while.
func (tb *Testbed) terminateAndRestart(ctx context.Context, node *Node, f Fault) error {
	stop := tb.startPersistentClients(ctx, node, f.Clients)
	killed := node.Terminate()
	stop()
	tb.reportKill(node, killed)
	if !sleep(ctx, f.For) {
		return nil
	}
	return node.restart(ctx)
}

// reportKill makes a finding of a node that did not end in time after SIGTERM.
func (tb *Testbed) reportKill(node *Node, killed bool) {
	if killed {
		tb.checker.addFinding(Crash, "", node.name, "did not end in time after SIGTERM")
	}
}

// sendSignals sends a node a series of signals. One that ends by them is started again after a while.
func (tb *Testbed) sendSignals(ctx context.Context, node *Node, f Fault) error {
	stop := tb.startPersistentClients(ctx, node, f.Clients)
	defer stop()
	node.paused.Store(true)
	tb.intervals.begin(pausedPart(node.name), tb.now())
	var killAt time.Time // zero: no SIGTERM was sent
	for _, signal := range f.Signals {
		if signal == SignalTerminate && killAt.IsZero() {
			killAt = time.Now().Add(tb.world.killDelay())
		}
		if err := node.sendSignal(signal); err != nil {
			break // it has ended
		}
		if !sleep(ctx, f.Gap) {
			break
		}
	}
	_ = node.process.signal(syscall.SIGCONT) // fails only where it has ended
	tb.intervals.end(pausedPart(node.name), tb.now())
	if killAt.IsZero() {
		return nil
	}
	killed := node.awaitEnd(killAt)
	stop()
	tb.reportKill(node, killed)
	if !sleep(ctx, f.For) {
		return nil
	}
	return node.restart(ctx)
}

// sendSignal sends one signal. SIGHUP comes with a new configuration, and not to a process that has just started.
func (n *Node) sendSignal(signal Signal) error {
	if signal != SignalReload {
		return n.process.signal(signalNumbers[signal])
	}
	if n.process.uptime() < minUptimeForReload || !n.wasReady.Load() {
		return nil
	}
	return n.Reload()
}
