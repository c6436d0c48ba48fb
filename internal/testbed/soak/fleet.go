package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"keelusher/internal/testbed"
)

// Time limits for membership and overrides.
const (
	membersSettle    = 20 * time.Second // limit at the end of a run for all running nodes to see each other alive
	membersPoll      = 200 * time.Millisecond
	issueTimeout     = 2 * time.Second // for one override; under some faults there is no majority to accept it
	overrideEndSlack = 300 * time.Millisecond
)

// runOverrides issues the plan's overrides, each at the first node that accepts it, and reports those that are still
// in force after their end.
func (r *Result) runOverrides(ctx context.Context, tb *testbed.Testbed, p *Plan) {
	began := time.Now()
	for i, o := range p.Overrides {
		if !sleepUntil(ctx, began.Add(o.At)) {
			return
		}
		id := fmt.Sprint("soak-", i)
		issued, ok := issueOverride(ctx, tb, id, o)
		if !ok {
			r.OverridesRefused++
			continue
		}
		r.OverridesIssued++
		if !sleepUntil(ctx, issued.Add(o.For+overrideEndSlack)) {
			return
		}
		reportOutlived(ctx, tb, id)
	}
}

// issueOverride tries the nodes one after another until one accepts the override, for up to issueTimeout. It returns
// the time just before the call that was accepted.
func issueOverride(ctx context.Context, tb *testbed.Testbed, id string, o Override) (issued time.Time, ok bool) {
	body := fmt.Sprintf(`{"kind":"evacuate","scope":%q,"reason":"soak","author":"soak","for":%q}`, o.Zone, o.For)
	for end := time.Now().Add(issueTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		for _, n := range tb.Nodes() {
			issued = time.Now()
			status, err := n.SendOverride(ctx, http.MethodPut, id, body)
			if err == nil && status == http.StatusOK {
				return issued, true
			}
		}
	}
	return issued, false
}

// reportOutlived reports the nodes at which an override is still in force. It must be called after the override's end.
func reportOutlived(ctx context.Context, tb *testbed.Testbed, id string) {
	for _, n := range tb.Nodes() {
		inForce, err := n.OverridesInForce(ctx)
		if left, is := inForce[id]; err == nil && is {
			tb.Checker().Report(testbed.OverrideOutlived, n.Name(), fmt.Sprintf("%s outlived its end, %v left", id, left))
		}
	}
}

// checkMembers waits until all running nodes see each other alive, and after membersSettle reports the nodes that do
// not.
func checkMembers(ctx context.Context, tb *testbed.Testbed) {
	var wrong map[string]string
	for end := time.Now().Add(membersSettle); time.Now().Before(end); {
		if wrong = wrongViews(ctx, tb); len(wrong) == 0 || !sleepUntil(ctx, time.Now().Add(membersPoll)) {
			return
		}
	}
	for node, what := range wrong {
		tb.Checker().Report(testbed.MembersDiffer, node, what)
	}
}

// wrongViews returns, for each running node that does not see all other running nodes alive, the first member that it
// sees in another state, or the error of its admin endpoint.
func wrongViews(ctx context.Context, tb *testbed.Testbed) map[string]string {
	wrong := map[string]string{}
	for _, n := range tb.Nodes() {
		if !n.Running() {
			continue
		}
		view, err := n.Fleet(ctx)
		if err != nil {
			wrong[n.Name()] = err.Error()
			continue
		}
		for _, other := range tb.Nodes() {
			if state := view.State(other.Name()); other.Running() && state != testbed.StateAlive {
				wrong[n.Name()] = fmt.Sprintf("%s is %q, side %s", other.Name(), state, view.Side)
				break
			}
		}
	}
	return wrong
}

// sleepUntil waits until a time and reports whether it was reached before ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}
