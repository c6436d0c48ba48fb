// The node as a member of its fleet.

package node

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"

	"keelusher/internal/fleet"
	"keelusher/internal/lifecycle"
	"keelusher/internal/membership"
	"keelusher/policy"
)

// revisionLength is how many characters of the revision members compare.
const revisionLength = 12

// loadFleet reads the fleet configuration at a path; "": there is none.
func (c *Config) loadFleet(path string) error {
	if path == "" {
		return nil
	}
	loaded, err := fleet.Load(path)
	if err != nil {
		return err
	}
	if loaded.Region == "" {
		loaded.Region = c.Settings.Zone
	}
	c.Fleet = loaded
	return nil
}

func (c *Config) hasMembership() bool { return c.Fleet != nil && c.Fleet.Mesh != nil }

// joinMembership joins the fleet.
func (n *Node) joinMembership() (*membership.Mesh, error) {
	config, settings := n.cfg.Fleet, n.cfg.Settings
	return membership.Start(membership.Config{
		OnMessage:    n.deliverOverrides,
		Fleet:        config.Name,
		Name:         n.cfg.Name,
		Zone:         settings.Zone,
		Region:       config.Region,
		Tier:         settings.Tier,
		Version:      version(),
		Digest:       settingsDigest(settings),
		Listen:       config.Mesh.Listen,
		Seeds:        config.Mesh.Seeds,
		Dial:         config.Mesh.DialAddresses,
		Probe:        config.Mesh.ProbeInterval,
		Log:          n.log,
		OnViewChange: n.updateReplicaCounts,
	})
}

// deliverOverrides passes a user message of another member to the host of overrides.
func (n *Node) deliverOverrides(from string, body []byte) {
	if host := n.overrides.Load(); host != nil {
		host.deliver(from, body)
	}
}

// updateReplicaCounts notifies the policy how many replicas send to this tier, by zone. Only a majority knows; the
// others leave it at the settings' number, which is safe: counting too few replicas would let each send too much.
func (n *Node) updateReplicaCounts(view membership.View) {
	counts := policy.ReplicaCounts{}
	if view.Side >= membership.Majority {
		counts.ByZone = map[string]int{}
		for _, member := range view.Members {
			if n.isReplica(member) {
				counts.ByZone[member.Zone]++
			}
		}
	}
	for {
		select {
		case n.loop.replicaCounts <- counts:
			return
		default:
		}
		select {
		case <-n.loop.replicaCounts: // outdated
		default:
		}
	}
}

// isReplica reports whether a member is a replica of this node, or this node itself.
func (n *Node) isReplica(member membership.Member) bool {
	if member.Name == n.cfg.Name {
		return true
	}
	alive := member.State == membership.Alive || member.State == membership.Suspect
	return member.Tier == n.cfg.Settings.Tier && alive && !member.Suppressed
}

// version is the revision that the program was built from, as far as it is known.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value[:min(revisionLength, len(setting.Value))]
		}
	}
	return ""
}

// runMembership keeps this node a member of the fleet until ctx ends. While a successor serves, the successor is the
// member; if it exits before this process, this process joins again.
func (n *Node) runMembership(ctx context.Context, joined *membership.Mesh) {
	for {
		n.membership.Store(joined)
		successorServes := n.runMember(ctx, joined)
		if ctx.Err() != nil {
			if successorServes {
				joined.Close()
			} else {
				joined.Leave()
			}
			return
		}
		joined.Close() // the successor waits for the address
		if !n.awaitSuccessorExit(ctx) {
			return
		}
		var err error
		if joined, err = n.joinMembership(); err != nil {
			n.log.Error("membership could not be resumed", "err", err)
			return
		}
	}
}

// runMember runs the host of overrides, if there is one, and announces when the node serves. It returns once ctx ends
// or a successor serves, and reports whether one does. Each process of the membership has a register of its own,
// which is empty at first.
func (n *Node) runMember(ctx context.Context, joined *membership.Mesh) (successorServes bool) {
	if n.cfg.Fleet.Overrides == nil {
		return n.announceUntilSuccession(ctx, joined)
	}
	hostContext, stop := context.WithCancel(ctx)
	host := n.newOverridesHost(joined.ProcessID())
	n.overrides.Store(host)
	go host.run(hostContext)
	successorServes = n.announceUntilSuccession(ctx, joined)
	stop()
	<-host.ended
	return successorServes
}

// announceUntilSuccession announces when the node serves, and returns once ctx ends or a successor serves.
func (n *Node) announceUntilSuccession(ctx context.Context, joined *membership.Mesh) (successorServes bool) {
	for announced := false; ; {
		if !announced && n.lifecycle.Current() == lifecycle.Serving {
			joined.AnnounceServing()
			announced = true
		}
		if n.handover.SuccessorServes() {
			return true
		}
		select {
		case <-n.membershipPhaseChanges:
		case <-n.handover.Changed():
		case <-ctx.Done():
			return n.handover.SuccessorServes()
		}
	}
}

// awaitSuccessorExit returns true once no successor serves, and false if ctx ends before that.
func (n *Node) awaitSuccessorExit(ctx context.Context) bool {
	for n.handover.SuccessorServes() {
		select {
		case <-n.handover.Changed():
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// fleetPage is the JSON of the fleet that operators read.
type fleetPage struct {
	Fleet         string                    `json:"fleet"`
	Self          string                    `json:"self"`
	Side          membership.PartitionSide  `json:"side"`
	LeaderProcess string                    `json:"under"`
	Epoch         membership.Epoch          `json:"epoch"`
	MemberCount   int                       `json:"roster"`
	Settled       bool                      `json:"settled"`
	Digest        string                    `json:"digest"`
	Members       []membership.Member       `json:"members"`
	Disagreements []membership.Disagreement `json:"differ"`
	Counters      membership.Counters       `json:"figures"`
}

// membersPage is the fleet as this node sees it, in JSON; false: there is no membership.
func (n *Node) membersPage() ([]byte, bool) {
	joined := n.membership.Load()
	if joined == nil {
		return nil, false
	}
	view := joined.View()
	text, err := json.Marshal(fleetPage{
		Fleet:         n.cfg.Fleet.Name,
		Self:          n.cfg.Name,
		Side:          view.Side,
		LeaderProcess: fmt.Sprintf("%016x", view.LeaderProcess),
		Epoch:         view.Epoch,
		MemberCount:   view.MemberListSize,
		Settled:       view.MemberListSettled,
		Digest:        fmt.Sprintf("%016x", view.Digest),
		Members:       view.Members,
		Disagreements: joined.Disagreements(),
		Counters:      joined.Counters(),
	})
	if err != nil {
		n.log.Error("members", "err", err)
		return nil, false
	}
	return text, true
}
