package testbed

import (
	"context"
	"syscall"
	"time"
)

// Signal is a signal to a node's process, as experiment files name it.
type Signal string

// The signals that a fault can send.
const (
	SignalTerminate Signal = "term"
	SignalReload    Signal = "hup" // sent after a new configuration was written
	SignalStop      Signal = "stop"
	SignalContinue  Signal = "cont"
)

var signalNumbers = map[Signal]syscall.Signal{
	SignalTerminate: syscall.SIGTERM,
	SignalReload:    syscall.SIGHUP,
	SignalStop:      syscall.SIGSTOP,
	SignalContinue:  syscall.SIGCONT,
}

// The limits that the platform keeps at a restart or reload.
const (
	maxDeadlineBeforeKill = 3 * time.Second        // the platform grants no more, even with longer deadlines
	killGrace             = 700 * time.Millisecond // from SIGTERM to SIGKILL, in addition to the longest deadline
	minUptimeForReload    = time.Second            // no SIGHUP is sent to a younger process
)

// minKillDelay returns the shortest time from SIGTERM to SIGKILL that the platform promises: the longest deadline, but
// at most maxDeadlineBeforeKill, plus killGrace.
func (w *World) minKillDelay() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxDeadlineBeforeKill) + killGrace
}

// Terminate sends SIGTERM and waits for the exit of the process. If the process still runs after minKillDelay, when the
// platform may kill it, Terminate sends SIGKILL. It reports whether it did.
func (n *Node) Terminate() (killed bool) {
	_ = n.process.signal(syscall.SIGTERM) // fails only if it has exited
	return n.awaitExit(time.Now().Add(n.testbed.world.minKillDelay()))
}

// awaitExit waits for the exit of a process that was sent SIGTERM, and sends SIGKILL at killAt if it still runs. It
// reports whether it did.
func (n *Node) awaitExit(killAt time.Time) (killed bool) {
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

// terminateAndRestart ends a node with SIGTERM, while clients send requests on persistent connections to it, and starts
// it again after the fault's For.
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

// reportKill adds a finding if a node had to be killed because it did not exit in time after SIGTERM.
func (tb *Testbed) reportKill(node *Node, killed bool) {
	if killed {
		tb.checker.addFinding(Crash, "", node.name, "did not exit in time after SIGTERM")
	}
}

// sendSignals sends a node a series of signals, and continues it in case it is stopped. If SIGTERM was among them it
// waits for the exit and starts the node again after the fault's For.
func (tb *Testbed) sendSignals(ctx context.Context, node *Node, f Fault) error {
	stop := tb.startPersistentClients(ctx, node, f.Clients)
	defer stop()
	node.paused.Store(true)
	tb.intervals.begin(pausedPart(node.name), tb.now())
	var killAt time.Time // zero if no SIGTERM was sent
	for _, signal := range f.Signals {
		if signal == SignalTerminate && killAt.IsZero() {
			killAt = time.Now().Add(tb.world.minKillDelay())
		}
		if err := node.sendSignal(signal); err != nil {
			break // it has exited
		}
		if !sleep(ctx, f.Gap) {
			break
		}
	}
	_ = node.process.signal(syscall.SIGCONT) // fails only if it has exited
	tb.intervals.end(pausedPart(node.name), tb.now())
	if killAt.IsZero() {
		return nil
	}
	killed := node.awaitExit(killAt)
	stop()
	tb.reportKill(node, killed)
	if !sleep(ctx, f.For) {
		return nil
	}
	return node.restart(ctx)
}

// sendSignal sends one signal. For SIGHUP it writes a new configuration first; it sends none to a process that has not
// become ready or is younger than minUptimeForReload.
func (n *Node) sendSignal(signal Signal) error {
	if signal != SignalReload {
		return n.process.signal(signalNumbers[signal])
	}
	if n.process.uptime() < minUptimeForReload || !n.wasReady.Load() {
		return nil
	}
	return n.Reload()
}
