package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"keelusher/internal/testbed"
)

// Times of membership and overrides.
const (
	membersSettle    = 20 * time.Second // after the last fault, until all nodes see each other alive
	membersPoll      = 200 * time.Millisecond
	issueTimeout     = 2 * time.Second // of an override: under some faults no majority can be had
	overrideEndSlack = 300 * time.Millisecond
)

// runOverrides issues the plan's overrides through some node, and looks for those that outlive their end.
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

// issueOverride issues an override at one node after another until one accepts it; issued is before that call.
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

// reportOutlived reports the nodes at which an override is in force, though it has ended.
func reportOutlived(ctx context.Context, tb *testbed.Testbed, id string) {
	for _, n := range tb.Nodes() {
		inForce, err := n.OverridesInForce(ctx)
		if left, is := inForce[id]; err == nil && is {
			tb.Checker().Report(testbed.OverrideOutlived, n.Name(), fmt.Sprintf("%s is in force, %v left", id, left))
		}
	}
}

// checkMembers waits until all running nodes see each other alive, and reports what they still see after a time.
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

// wrongViews are the first member, by node, that a running node does not see alive though it runs.
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

// sleepUntil waits for a time; false: ctx has ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}
