package node

import (
	"net/http"
	"time"

	"keelusher/internal/lifecycle"
	"keelusher/internal/metrics"
	"keelusher/policy"
)

// operatorView gives the admin endpoint access to the node.
type operatorView struct{ node *Node }

// CanServe reports whether this process is able to serve clients, even if an operator has taken it out of service.
func (v operatorView) CanServe() bool {
	n := v.node
	return n.lifecycle.CanServe() && n.accepting.Load() && n.loop.hasReadyEndpoint.Load()
}

// Transition passes an event to the lifecycle and reports whether the current phase allows it.
func (v operatorView) Transition(event lifecycle.Event) bool {
	return v.node.lifecycle.Transition(event)
}

// Counters returns the current counters, and false if the event loop has ended.
func (v operatorView) Counters() (page metrics.CountersPage, ok bool) {
	loop := v.node.loop
	ok = loop.runTask(func() { page = loop.metrics.Page(loop.balancer.EndpointCounts(loop.clock.now())) })
	return page, ok
}

// Decisions returns the decisions that were counted since the start of the process.
func (v operatorView) Decisions() metrics.DecisionsPage { return v.node.loop.decisions.Page() }

// Zones returns the zones as this node knows them and the time of the node's clock; ok is false if the event loop has
// ended.
func (v operatorView) Zones() (zones []policy.Zone, now time.Duration, ok bool) {
	loop := v.node.loop
	ok = loop.runTask(func() { zones, now = loop.balancer.Zones(), loop.clock.now() })
	return zones, now, ok
}

// EvacuateZone starts or ends the evacuation of a zone. It returns the HTTP status, and false if the event loop has
// ended.
func (v operatorView) EvacuateZone(name string, evacuate, force bool) (status int, ok bool) {
	loop := v.node.loop
	ok = loop.runTask(func() { status = loop.evacuateByOperator(name, evacuate, force) })
	return status, ok
}

// Members returns the fleet as this node sees it, in JSON, and false if there is no membership.
func (v operatorView) Members() ([]byte, bool) { return v.node.membersPage() }

// Overrides returns the HTTP handler for the overrides, or nil if overrides are turned off.
func (v operatorView) Overrides() http.Handler {
	if host := v.node.overrides.Load(); host != nil {
		return host
	}
	return nil
}
