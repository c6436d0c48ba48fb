package node

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"

	"keelusher/internal/fleet"
	"keelusher/internal/membership"
	"keelusher/policy"
)

// loadFleet reads the fleet configuration at a path; none is named: nil.
func (c *Config) loadFleet(path string) error {
	if path == "" {
		return nil
	}
	f, err := fleet.Load(path)
	if err != nil {
		return err
	}
	if f.Region == "" {
		f.Region = c.Settings.Zone
	}
	c.Fleet = f
	return nil
}

// reserved is how many descriptors are for neither callers nor servers.
func (c *Config) reserved() int {
	if c.meshed() {
		return reserved + membership.MaxDescriptors
	}
	return reserved
}

func (c *Config) meshed() bool { return c.Fleet != nil && c.Fleet.Mesh != nil }

// startMesh joins the fleet.
func (n *Node) startMesh() (*membership.Mesh, error) {
	f, s := n.cfg.Fleet, n.cfg.Settings
	return membership.Start(membership.Config{
		OnMessage:    n.deliver,
		Fleet:        f.Name,
		Name:         n.cfg.Name,
		Zone:         s.Zone,
		Region:       f.Region,
		Tier:         s.Tier,
		Version:      version(),
		Digest:       settingsDigest(s),
		Listen:       f.Mesh.Listen,
		Seeds:        f.Mesh.Seeds,
		Dial:         f.Mesh.DialAddresses,
		Probe:        f.Mesh.ProbeInterval,
		Log:          n.log,
		OnViewChange: n.count,
	})
}

// deliver takes what another member's part of the program sends.
func (n *Node) deliver(from string, body []byte) {
	if o := n.orders.Load(); o != nil {
		o.deliver(from, body)
	}
}

// count tells the module how many copies place calls on this tier, by zone. Only a majority knows; the others leave it
// at the settings' number, which is safe: too few copies counted would be too much taken by each.
func (n *Node) count(v membership.View) {
	p := policy.ReplicaCounts{}
	if v.Side >= membership.Majority {
		p.ByZone = map[string]int{}
		for _, m := range v.Members {
			if m.Tier == n.cfg.Settings.Tier && (m.State == membership.Alive || m.State == membership.Suspect) && !m.Suppressed || m.Name == n.cfg.Name {
				p.ByZone[m.Zone]++
			}
		}
	}
	for {
		select {
		case n.loop.peers <- p:
			return
		default:
		}
		select {
		case <-n.loop.peers: // an older word
		default:
		}
	}
}

// version is the revision that the program was built from, as far as it is known.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(12, len(s.Value))]
			}
		}
	}
	return ""
}

// takePart keeps this node's place in the fleet until ctx ends. While a successor serves the place is the successor's;
// if that dies, this process takes it back.
func (n *Node) takePart(ctx context.Context, m *membership.Mesh) {
	for {
		n.mesh.Store(m)
		ordering, stop := context.WithCancel(ctx)
		var o *overridesHost
		if n.cfg.Fleet.Overrides != nil { // a new process of the mesh has a register of its own, which knows nothing yet
			o = n.newOverrides(m.ProcessID())
			n.orders.Store(o)
			go o.run(ordering)
		}
		passed := n.keepPlace(ctx, m)
		stop()
		if o != nil {
			<-o.ended
		}
		if ctx.Err() != nil {
			if passed {
				m.Close()
			} else {
				m.Leave()
			}
			return
		}
		m.Close() // the successor waits for the address
		for n.handover.passed.Load() {
			select {
			case <-n.handover.moved:
			case <-ctx.Done():
				return
			}
		}
		var err error
		if m, err = n.startMesh(); err != nil {
			n.log.Error("the place in the mesh could not be taken back", "err", err)
			return
		}
	}
}

// keepPlace says when the node serves, and returns once ctx ends or a successor serves.
func (n *Node) keepPlace(ctx context.Context, m *membership.Mesh) (passed bool) {
	for told := false; ; {
		if !told && n.life.current() == phaseServing {
			m.AnnounceServing()
			told = true
		}
		if n.handover.passed.Load() {
			return true
		}
		select {
		case <-n.served:
		case <-n.handover.moved:
		case <-ctx.Done():
			return n.handover.passed.Load()
		}
	}
}

// members is what the door shows of the fleet.
func (n *Node) members() ([]byte, bool) {
	m := n.mesh.Load()
	if m == nil {
		return nil, false
	}
	v := m.View()
	text, err := json.Marshal(struct {
		Fleet   string                    `json:"fleet"`
		Self    string                    `json:"self"`
		Side    membership.PartitionSide  `json:"side"`
		Under   string                    `json:"under"`
		Epoch   membership.Epoch          `json:"epoch"`
		Roster  int                       `json:"roster"`
		Settled bool                      `json:"settled"`
		Digest  string                    `json:"digest"`
		Members []membership.Member       `json:"members"`
		Differ  []membership.Disagreement `json:"differ"`
		Figures membership.Counters       `json:"figures"`
	}{n.cfg.Fleet.Name, n.cfg.Name, v.Side, fmt.Sprintf("%016x", v.LeaderProcess), v.Epoch, v.MemberListSize, v.MemberListSettled, fmt.Sprintf("%016x", v.Digest), v.Members, m.Disagreements(), m.Counters()})
	if err != nil {
		n.log.Error("members", "err", err)
		return nil, false
	}
	return text, true
}
