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

// SendOverride sends a request for /control/overrides/ID, with a body that may be empty, to the node's admin endpoint.
// It returns the status of the response.
func (n *Node) SendOverride(ctx context.Context, method, id, body string) (int, error) {
	url := "http://" + n.AdminAddr() + "/control/overrides/" + id
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := nodeHTTPClient.Do(req)
	if err != nil {
		return 0, err
	}
	closeQuietly(resp.Body)
	return resp.StatusCode, nil
}

// OverridesInForce reads from the node's admin endpoint which overrides are in force there, and returns the time that
// each has left, by ID.
func (n *Node) OverridesInForce(ctx context.Context) (map[string]time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.AdminAddr()+"/control/overrides", nil)
	if err != nil {
		return nil, err
	}
	resp, err := nodeHTTPClient.Do(req)
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
		return nil, errors.Join(err, fmt.Errorf("overrides of node %s: response %s", n.name, resp.Status))
	}
	all := map[string]time.Duration{}
	for _, f := range v.OverridesInForce {
		all[f.ID] = f.Left
	}
	return all, nil
}

// evacuationOverride returns the body of an override that evacuates a zone for a limited time.
func evacuationOverride(zone string, lasts time.Duration) string {
	return fmt.Sprintf(`{"kind":"evacuate","scope":%q,"reason":"lab","author":"lab","for":%q}`, zone, lasts)
}

// issueOverride sends an override to a node until its admin endpoint accepts it, and returns when the accepted request
// was sent.
func (s *scenarioRun) issueOverride(ctx context.Context, by *Node, id, body string) (at time.Duration, err error) {
	_, err = s.waitUntil(ctx, id+" is accepted", func() bool {
		at = s.testbed.now()
		status, err := by.SendOverride(ctx, http.MethodPut, id, body)
		return err == nil && status == http.StatusOK
	})
	return at, err
}

// revokeOverride revokes an override through a node, with retries, and returns when the last request was sent.
func (s *scenarioRun) revokeOverride(ctx context.Context, by *Node, id string) (at time.Duration, err error) {
	_, err = s.waitUntil(ctx, "the revocation is accepted", func() bool {
		at = s.testbed.now()
		status, err := by.SendOverride(ctx, http.MethodDelete, id, "")
		return err == nil && (status == http.StatusOK || status == http.StatusNotFound)
	})
	return at, err
}

// waitForOverride waits until an override is in force on all of the nodes, or on none if want is false. If a metric is
// named, it records for each node how long that took since from.
func (s *scenarioRun) waitForOverride(
	ctx context.Context,
	on []*Node,
	id string,
	want bool,
	metric string,
	from time.Duration,
) error {
	for _, n := range on {
		if _, err := s.waitUntil(ctx, metric+" at "+n.name, func() bool {
			inForce, err := n.OverridesInForce(ctx)
			_, is := inForce[id]
			return err == nil && is == want
		}); err != nil {
			return err
		}
		if metric != "" {
			s.record(metric, s.testbed.now()-from)
		}
	}
	return nil
}

// issueAndWait issues an override and waits until it is in force on all of the nodes. It returns when the override was
// issued.
func (s *scenarioRun) issueAndWait(
	ctx context.Context,
	by *Node,
	id, body string,
	on []*Node,
	metric string,
) (issued time.Duration, err error) {
	issued, err = s.issueOverride(ctx, by, id, body)
	if err != nil {
		return 0, err
	}
	return issued, s.waitForOverride(ctx, on, id, true, metric, issued)
}

// Names of metrics and counts of the scenarios with overrides.
const (
	issuedMetric  = "issued: in force"
	revokedMetric = "revoked: out of force"
	actsPastEnd   = "acts past its end"
)

// overrides issues overrides through different admin endpoints under a condition of all links. It revokes two and lets
// one end while one node is isolated and one is stopped. Both nodes must afterwards receive an override that was issued
// meanwhile, and no node may apply an override after its end.
func (s *scenarioRun) overrides(ctx context.Context, c LinkCondition) error {
	const lasts = 6 * time.Second
	last := len(s.nodes) - 1
	isolated, stopped, rest := s.nodes[last], s.nodes[last-1], s.nodes[:last-1]
	s.testbed.SetLink("n*", "n*", c)
	for round := range 2 {
		by := rest[(int(s.seed)+round)%len(rest)]
		if err := s.issueAndRevoke(ctx, by, fmt.Sprint("revoked-", round)); err != nil {
			return err
		}
	}
	issued, err := s.issueAndWait(ctx, rest[1], "ends", evacuationOverride("x", lasts), s.nodes, issuedMetric)
	if err != nil {
		return err
	}
	s.testbed.SetLink("n*", isolated.name, LinkCondition{Cut: true})
	s.testbed.SetLink(isolated.name, "n*", LinkCondition{Cut: true})
	if err := stopped.Stop(); err != nil {
		return err
	}
	if err := s.watchOverrideEnd(ctx, append(rest[:len(rest):len(rest)], isolated), "ends", issued, lasts); err != nil {
		return err
	}
	if _, err := s.issueAndWait(ctx, rest[0], "missed", evacuationOverride("y", time.Minute), rest, ""); err != nil {
		return err
	}
	continued := s.testbed.now()
	if err := stopped.Continue(); err != nil {
		return err
	}
	if inForce, err := stopped.OverridesInForce(ctx); err == nil {
		if _, is := inForce["ends"]; is {
			s.count[actsPastEnd]++
		}
	}
	s.testbed.SetLink("n*", "n*", c)
	if err := s.waitForOverride(ctx, []*Node{stopped}, "missed", true, "woken: reconciled", continued); err != nil {
		return err
	}
	if err := s.waitForOverride(ctx, []*Node{isolated}, "missed", true, "cut healed: reconciled", continued); err != nil {
		return err
	}
	if s.count[actsPastEnd] > 0 {
		return errors.New("an override acted past its end")
	}
	return nil
}

// issueAndRevoke issues an override, waits until it is in force on all nodes, and revokes it.
func (s *scenarioRun) issueAndRevoke(ctx context.Context, by *Node, id string) error {
	_, err := s.issueAndWait(ctx, by, id, evacuationOverride("x", time.Minute), s.nodes, issuedMetric)
	if err != nil {
		return err
	}
	revoked, err := s.revokeOverride(ctx, by, id)
	if err != nil {
		return err
	}
	return s.waitForOverride(ctx, s.nodes, id, false, revokedMetric, revoked)
}

// watchOverrideEnd polls the nodes until an override must have ended on all of them. It records how early the override
// ended on each node, and counts the responses in which it was still in force after its end.
func (s *scenarioRun) watchOverrideEnd(
	ctx context.Context,
	nodes []*Node,
	id string,
	issued, lasts time.Duration,
) error {
	const pollTolerance = 200 * time.Millisecond // for the duration of the request and the delay of a busy machine
	ended := map[*Node]bool{}
	for s.testbed.now()-issued < lasts+time.Second {
		for _, n := range nodes {
			asked := s.testbed.now()
			inForce, err := n.OverridesInForce(ctx)
			_, is := inForce[id]
			switch {
			case err != nil:
			case is && asked-issued > lasts+pollTolerance:
				s.count[actsPastEnd]++
			case !is && !ended[n]:
				ended[n] = true
				early := max(0, lasts-(s.testbed.now()-issued))
				s.record("ended early by", early)
			}
		}
		if !sleep(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}
