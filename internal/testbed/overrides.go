package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// SendOverride calls /control/overrides/ID at the node's admin endpoint; body may be empty. It returns the answer's
// status.
func (n *Node) SendOverride(ctx context.Context, method, id, body string) (int, error) {
	req, err := http.NewRequestWithContext(
		ctx,
		method,
		"http://"+n.Control()+"/control/overrides/"+id,
		strings.NewReader(body),
	)
	if err != nil {
		return 0, err
	}
	resp, err := readinessClient.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// OverridesInForce asks the node's admin endpoint which overrides act there, and how long they have left.
func (n *Node) OverridesInForce(ctx context.Context) (map[string]time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Control()+"/control/overrides", nil)
	if err != nil {
		return nil, err
	}
	resp, err := readinessClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var v struct {
		OverridesInForce []struct {
			ID   string        `json:"id"`
			Left time.Duration `json:"left"`
		} `json:"in_force"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil || resp.StatusCode != http.StatusOK {
		return nil, errors.Join(err, fmt.Errorf("%s answered %s", n.name, resp.Status))
	}
	all := map[string]time.Duration{}
	for _, f := range v.OverridesInForce {
		all[f.ID] = f.Left
	}
	return all, nil
}

func evacuationOverride(zone string, lasts time.Duration) string {
	return fmt.Sprintf(`{"kind":"evacuate","scope":%q,"reason":"lab","author":"lab","for":%q}`, zone, lasts)
}

// issueOverride orders until some admin endpoint takes it, and returns when the last call that did was made.
func (s *scenarioRun) issueOverride(ctx context.Context, by *Node, id, body string) (at time.Duration, err error) {
	_, err = s.waitUntil(ctx, id+" is taken", func() bool {
		at = s.testbed.now()
		status, err := by.SendOverride(ctx, http.MethodPut, id, body)
		return err == nil && status == http.StatusOK
	})
	return at, err
}

// revokeOverride ends an override through a node, and returns when the last call that did was made.
func (s *scenarioRun) revokeOverride(ctx context.Context, by *Node, id string) (at time.Duration, err error) {
	_, err = s.waitUntil(ctx, "the revocation is taken", func() bool {
		at = s.testbed.now()
		status, err := by.SendOverride(ctx, http.MethodDelete, id, "")
		return err == nil && (status == http.StatusOK || status == http.StatusNotFound)
	})
	return at, err
}

// waitForOverride waits until an override acts, or does not, on some nodes, and books how long that took from a time
// on.
func (s *scenarioRun) waitForOverride(
	ctx context.Context,
	on []*Node,
	id string,
	want bool,
	figure string,
	from time.Duration,
) error {
	for _, n := range on {
		if _, err := s.waitUntil(ctx, figure+" at "+n.name, func() bool {
			all, err := n.OverridesInForce(ctx)
			_, is := all[id]
			return err == nil && is == want
		}); err != nil {
			return err
		}
		if figure != "" {
			s.times[figure] = append(s.times[figure], s.testbed.now()-from)
		}
	}
	return nil
}

// overrides issues overrides at any admin endpoint under a condition of all links, revokes some, and lets the others
// end. One node is cut off, and one stopped, across all of that.
func (s *scenarioRun) overrides(ctx context.Context, c LinkCondition) error {
	const lasts = 6 * time.Second
	last := len(s.nodes) - 1
	lone, asleep, rest := s.nodes[last], s.nodes[last-1], s.nodes[:last-1]
	s.testbed.SetLink("n*", "n*", c)
	for round := range 2 {
		by := rest[(int(s.seed)+round)%len(rest)]
		id := fmt.Sprint("revoked-", round)
		at, err := s.issueOverride(ctx, by, id, evacuationOverride("x", time.Minute))
		if err == nil {
			err = s.waitForOverride(ctx, s.nodes, id, true, "issued: in force", at)
		}
		if err != nil {
			return err
		}
		revoked, err := s.revokeOverride(ctx, by, id)
		if err == nil {
			err = s.waitForOverride(ctx, s.nodes, id, false, "revoked: out of force", revoked)
		}
		if err != nil {
			return err
		}
	}
	at, err := s.issueOverride(ctx, rest[1], "ends", evacuationOverride("x", lasts))
	if err == nil {
		err = s.waitForOverride(ctx, s.nodes, "ends", true, "issued: in force", at)
	}
	if err != nil {
		return err
	}
	s.testbed.SetLink("n*", lone.name, LinkCondition{Cut: true})
	s.testbed.SetLink(lone.name, "n*", LinkCondition{Cut: true})
	if err := asleep.Stop(); err != nil {
		return err
	}
	ended := map[*Node]bool{}
	for s.testbed.now()-at < lasts+time.Second {
		for _, n := range append(rest[:len(rest):len(rest)], lone) {
			asked := s.testbed.now()
			all, err := n.OverridesInForce(ctx)
			_, is := all["ends"]
			switch {
			case err != nil:
			case is && asked-at > lasts+200*time.Millisecond: // 200 ms: the call itself, and what a busy machine adds to it
				s.count["acts past its end"]++
			case !is && !ended[n]:
				ended[n] = true
				s.times["ended early by"] = append(s.times["ended early by"], max(0, lasts-(s.testbed.now()-at)))
			}
		}
		if !sleep(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
	at, err = s.issueOverride(ctx, rest[0], "missed", evacuationOverride("y", time.Minute))
	if err == nil {
		err = s.waitForOverride(ctx, rest, "missed", true, "", at)
	}
	if err != nil {
		return err
	}
	woken := s.testbed.now()
	if err := asleep.Continue(); err != nil {
		return err
	}
	if all, err := asleep.OverridesInForce(ctx); err == nil {
		if _, is := all["ends"]; is {
			s.count["acts past its end"]++
		}
	}
	s.testbed.SetLink("n*", "n*", c)
	if err := s.waitForOverride(ctx, []*Node{asleep}, "missed", true, "woken: reconciled", woken); err != nil {
		return err
	}
	if err := s.waitForOverride(ctx, []*Node{lone}, "missed", true, "cut healed: reconciled", woken); err != nil {
		return err
	}
	if s.count["acts past its end"] > 0 {
		return errors.New("an override acted past its end")
	}
	return nil
}
