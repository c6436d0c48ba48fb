// Membership of the node in its fleet.

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

// revisionLength is the number of characters of the revision that members compare.
const revisionLength = 12

// loadFleet reads the fleet configuration at a path. It does nothing if the path is empty. The region defaults to the
// node's zone.
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

// joinMembership starts the membership of this process in the fleet.
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

// deliverOverrides passes a message that another member has sent to the overrides host, if there is one.
func (n *Node) deliverOverrides(from string, body []byte) {
	if host := n.overrides.Load(); host != nil {
		host.deliver(from, body)
	}
}

// updateReplicaCounts tells the policy how many replicas there are, by zone, this node included. Only the majority side
// of a partition knows that number. On any other side the counts are empty, and the policy uses the number from the
// settings: counting too few replicas would let each of them send too much.
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
		case <-n.loop.replicaCounts: // discard the outdated counts
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

// version returns the first characters of the revision that the program was built from, empty if it is unknown.
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
// member instead of this process. If the successor exits first, this process joins again.
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
		joined.Close() // releases the address, which the successor waits for
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

// runMember announces when the node serves, and runs the overrides host if overrides are configured. It returns once
// ctx ends or a successor serves, and reports whether one serves. Each membership has a register of its own,
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

// announceUntilSuccession announces to the fleet when the node serves. It returns once ctx ends or a successor serves,
// and reports whether one serves.
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

// awaitSuccessorExit waits until no successor serves. It returns false if ctx ends before that.
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

// fleetPage is the JSON form of the fleet's state that operators read.
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

// membersPage returns the fleet as this node sees it, in JSON, and false if there is no membership.
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
