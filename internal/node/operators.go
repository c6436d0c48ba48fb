package node

import (
	"net/http"
	"time"

	"keelusher/internal/lifecycle"
	"keelusher/internal/metrics"
	"keelusher/policy"
)

// adminBackend gives the admin endpoint access to the node.
type adminBackend struct{ node *Node }

// CanServe reports whether this process is able to serve clients, even if an operator has taken it out of service.
func (b adminBackend) CanServe() bool {
	n := b.node
	return n.lifecycle.CanServe() && n.accepting.Load() && n.loop.hasReadyEndpoint.Load()
}

// Transition passes an operator's event to the lifecycle of all processes of the node, and reports whether the current
// phase of this one allows it.
func (b adminBackend) Transition(event lifecycle.Event) bool { return b.node.operatorTransition(event) }

// Counters returns the current counters, and false if the event loop has ended.
func (b adminBackend) Counters() (page metrics.CountersPage, ok bool) {
	loop := b.node.loop
	ok = loop.runTask(func() { page = loop.metrics.Page(loop.balancer.EndpointCounts(loop.clock.now())) })
	return page, ok
}

// Decisions returns the decisions that were counted since the start of the process.
func (b adminBackend) Decisions() metrics.DecisionsPage { return b.node.loop.decisions.Page() }

// Zones returns the zones as this node knows them and the time of the node's clock; ok is false if the event loop has
// ended.
func (b adminBackend) Zones() (zones []policy.Zone, now time.Duration, ok bool) {
	loop := b.node.loop
	ok = loop.runTask(func() { zones, now = loop.balancer.Zones(), loop.clock.now() })
	return zones, now, ok
}

// EvacuateZone starts or ends the evacuation of a zone. It returns the HTTP status, and false if the event loop has
// ended.
func (b adminBackend) EvacuateZone(name string, evacuate, force bool) (status int, ok bool) {
	loop := b.node.loop
	ok = loop.runTask(func() { status = loop.evacuateByOperator(name, evacuate, force) })
	return status, ok
}

// Members returns the fleet as this node sees it, in JSON, and false if there is no membership.
func (b adminBackend) Members() ([]byte, bool) { return b.node.membersPage() }

// Overrides returns the HTTP handler for the overrides, or nil if overrides are turned off.
func (b adminBackend) Overrides() http.Handler {
	if host := b.node.overrides.Load(); host != nil {
		return host
	}
	return nil
}
