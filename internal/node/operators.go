package node

import (
	"net/http"
	"time"

	"keelusher/internal/lifecycle"
	"keelusher/internal/metrics"
	"keelusher/policy"
)

// operatorView is the node as the admin endpoint needs it.
type operatorView struct{ node *Node }

// CanServe reports whether this process can serve, whether or not it is in service.
func (v operatorView) CanServe() bool {
	n := v.node
	return n.lifecycle.CanServe() && n.accepting.Load() && n.loop.hasReadyEndpoint.Load()
}

// Transition passes an event to the lifecycle.
func (v operatorView) Transition(event lifecycle.Event) bool {
	return v.node.lifecycle.Transition(event)
}

// Counters are the counters as they are now.
func (v operatorView) Counters() (page metrics.CountersPage, ok bool) {
	loop := v.node.loop
	ok = loop.runTask(func() { page = loop.metrics.Page(loop.balancer.EndpointCounts(loop.clock.now())) })
	return page, ok
}

// Decisions are the decisions since the start.
func (v operatorView) Decisions() metrics.DecisionsPage { return v.node.loop.decisions.Page() }

// Zones are the zones as this node knows them.
func (v operatorView) Zones() (zones []policy.Zone, now time.Duration, ok bool) {
	loop := v.node.loop
	ok = loop.runTask(func() { zones, now = loop.balancer.Zones(), loop.clock.now() })
	return zones, now, ok
}

// EvacuateZone starts or ends the evacuation of a zone.
func (v operatorView) EvacuateZone(name string, evacuate, force bool) (status int, ok bool) {
	loop := v.node.loop
	ok = loop.runTask(func() { status = loop.evacuateByOperator(name, evacuate, force) })
	return status, ok
}

// Members is the fleet as this node sees it.
func (v operatorView) Members() ([]byte, bool) { return v.node.membersPage() }

// Overrides is the host of overrides, if there is one.
func (v operatorView) Overrides() http.Handler {
	if host := v.node.overrides.Load(); host != nil {
		return host
	}
	return nil
}
