package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/BurntSushi/toml"
)

// meshListen returns the address at which a node's mesh listens, for UDP and TCP.
func (n *Node) meshListen() string { return net.JoinHostPort(n.address, "5002") }

// writeFleet writes a node's fleet configuration and returns its path, or "" if the world has none. The world's tables
// are written unchanged, except that [mesh] gets addresses: the node's own, the seeds', and those of the test bed's
// links to peers.
func (tb *Testbed) writeFleet(n *Node) (string, error) {
	if len(tb.world.Fleet) == 0 {
		return "", nil
	}
	all := maps.Clone(tb.world.Fleet)
	if all["name"] == nil {
		all["name"] = "lab"
	}
	if given, ok := all["mesh"].(map[string]any); ok {
		mesh := maps.Clone(given)
		seeds, dial := []string{}, map[string]string{}
		for _, s := range tb.front.nodes[:min(tb.world.Seeds, len(tb.front.nodes))] {
			seeds = append(seeds, s.name+"="+s.meshListen())
		}
		for _, o := range tb.orderedNodes {
			if o == n || !tb.hasProxy(n.name, o.name) {
				continue
			}
			addr, err := tb.meshLink(n, o)
			if err != nil {
				return "", err
			}
			dial[o.name] = addr
		}
		mesh["listen"], mesh["seeds"], mesh["dial"] = n.meshListen(), seeds, dial
		all["mesh"] = mesh
	}
	text, err := toml.Marshal(all)
	if err != nil {
		return "", fmt.Errorf("fleet configuration: %w", err)
	}
	path := filepath.Join(n.process.dir, "fleet.toml")
	return path, os.WriteFile(path, text, 0o600)
}

// meshLink returns the address of the link from one node's mesh to another's, for UDP and TCP. It creates the UDP link
// if there is none yet.
func (tb *Testbed) meshLink(n, o *Node) (string, error) {
	addr := tb.linkAddr(n.name, o.name, o.meshListen())
	key := n.name + "->" + o.name
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.tcpLinks[key] == nil {
		return "", fmt.Errorf("no link %s", key)
	}
	if tb.udpLinks[key] == nil {
		u, err := newUDPLink(addr, o.meshListen(), tb.directionLocked(n.name, o.name), tb.directionLocked(o.name, n.name))
		if err != nil {
			return "", err
		}
		tb.udpLinks[key] = u
	}
	return addr, nil
}

// Partition sides, as nodes report them.
const (
	SideComplete = "whole"
	SideMajority = "majority"
	SideMinority = "minority"
	SideIsolated = "alone"
)

// States of members, as nodes report and log them.
const (
	StateAlive     = "alive"
	stateSuspected = "suspect"
	stateDead      = "gone"
	stateLeft      = "left"
	stateConflict  = "conflict"
)

// FleetView is what a node's admin endpoint reports of the fleet.
type FleetView struct {
	Self          string `json:"self"`
	Side          string `json:"side"`
	LeaderProcess string `json:"under"` // the leader's process, which has proved the side
	Digest        string `json:"digest"`
	MemberCount   int    `json:"roster"`
	Settled       bool   `json:"settled"`
	Epoch         struct{ Number uint64 }
	Members       []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"members"`
	Metrics struct {
		PacketsOut int64            `json:"packets_out"`
		BytesOut   int64            `json:"bytes_out"`
		Dropped    map[string]int64 `json:"dropped"`
	} `json:"figures"`
}

// State returns a member's state in the view, or "" if the view does not have the member.
func (v *FleetView) State(name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

var adminClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Fleet reads the node's view of the fleet from its admin endpoint.
func (n *Node) Fleet(ctx context.Context) (*FleetView, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.AdminAddr()+"/control/members", nil)
	if err != nil {
		return nil, err
	}
	resp, err := adminClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", n.name, resp.Status)
	}
	v := &FleetView{}
	return v, json.NewDecoder(resp.Body).Decode(v)
}

// Agree reports whether all of the nodes are on a partition side, have the same digest and have no pending change of
// the member list.
func Agree(ctx context.Context, nodes []*Node, side string) bool {
	digest := ""
	for _, n := range nodes {
		v, err := n.Fleet(ctx)
		if err != nil || v.Side != side || !v.Settled || digest != "" && v.Digest != digest {
			return false
		}
		digest = v.Digest
	}
	return true
}
