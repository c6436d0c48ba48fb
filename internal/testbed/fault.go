package testbed

import (
	"fmt"
	"math/rand/v2"
	"path"
	"slices"
	"sort"
	"strings"
	"time"
)

// Fault is one entry of a schedule. At is when it begins, plus an even draw from 0 to Jitter; For is how long it lasts.
//
// Kinds that name Target, a pattern of nodes ("n1", "n*", "n@front-?"), servers ("rooms-*") or zones:
//
//	kill      SIGKILL a node; started again after For (0: never)
//	term      SIGTERM a node; started again once it has ended and For is over
//	stop      SIGSTOP a node for For
//	hold      SIGSTOP a node for For, 20 to 150 ms, Pick times in a row; it counts as the machine's, and excuses nothing
//	reload    move a node's discovery to another address, and SIGHUP
//	peers     Pick improper clients come to a node, that stop in the middle of a request, rest, flood or half-close
//	crash     end a server and its node; started again, in slow start, after For (0: never)
//	slow      a server's work takes Factor times longer
//	errors    a server answers a Share of its requests with 500
//	hang      a server takes requests and answers none
//	spoil     a server corrupts a Share of its answers: comes twice, breaks off without a length, or ends the connection after
//	silent    a server says nothing at all, as a vanished machine
//	drain     discovery lists a server as draining, and For later it is gone
//	replace   the same, and a new process starts in its place, in slow start; listed once its node is ready
//	zone      all servers of a zone are silent and, where Nodes is set, its nodes stopped; discovery drops them Late
//	          after; at the end they come back in slow start
//
// Kinds that name From and To, patterns of any two parts (nodes, servers, "clients-ZONE", "discovery"):
//
//	cut       nothing comes through in that direction
//	split     nothing comes through in either
//	link      Delay, Jittered, Loss, Dup, Reorder and Rate, in that direction
//	reset     every connection from From to To is reset, once
//
// Discovery: disc_down, disc_fail, disc_slow (Delay); disc_dumb, disc_trickle, disc_cut and disc_indent as Outage has
// them; once, disc_mute (open watches fall silent for good) and disc_renumber (it comes back with other numbers, higher
// ones if Factor is above 1).
type Fault struct {
	Kind   string        `toml:"kind"`
	At     time.Duration `toml:"at"`
	For    time.Duration `toml:"for"`
	Jitter time.Duration `toml:"jitter"`
	Target string        `toml:"target"`
	Pick   int           `toml:"pick"`  // so many of those that match, drawn; 0: all
	Every  time.Duration `toml:"every"` // between one target and the next
	From   string        `toml:"from"`
	To     string        `toml:"to"`
	Factor float64       `toml:"factor"`
	Share  float64       `toml:"share"`
	Nodes  bool          `toml:"nodes"`
	Late   time.Duration `toml:"late"`

	Delay    time.Duration `toml:"delay"`
	Jittered time.Duration `toml:"jittered"`
	Loss     float64       `toml:"loss"`
	Dup      float64       `toml:"dup"`
	Reorder  float64       `toml:"reorder"`
	Rate     int           `toml:"rate"`
}

var faultKinds = map[string]struct{ nodes, servers, zones, link, lasts bool }{
	"kill": {nodes: true}, "term": {nodes: true}, "stop": {nodes: true, lasts: true},
	"hold": {nodes: true, lasts: true}, "reload": {nodes: true}, "peers": {nodes: true}, "spoil": {servers: true, lasts: true},
	"crash": {servers: true}, "slow": {servers: true, lasts: true}, "errors": {servers: true, lasts: true},
	"hang": {servers: true, lasts: true}, "silent": {servers: true, lasts: true}, "drain": {servers: true, lasts: true},
	"replace": {servers: true, lasts: true},
	"zone":    {zones: true, lasts: true},
	"cut":     {link: true, lasts: true}, "split": {link: true, lasts: true}, "link": {link: true, lasts: true}, "reset": {link: true},
	"disc_down": {lasts: true}, "disc_fail": {lasts: true}, "disc_slow": {lasts: true},
	"disc_dumb": {lasts: true}, "disc_trickle": {lasts: true}, "disc_cut": {lasts: true}, "disc_indent": {lasts: true},
	"disc_mute": {}, "disc_renumber": {},
}

// names lists the world's parts of a sort, sorted as they are numbered.
func (w *World) names(nodes, servers, zones bool) (all []string) {
	if nodes {
		for i := range w.Tiers[0].Nodes {
			all = append(all, fmt.Sprintf("n%d", i+1))
		}
	}
	for t, tier := range w.Tiers {
		for i := range tier.Servers {
			name := fmt.Sprintf("%s-%d", tier.Name, i+1)
			if servers {
				all = append(all, name)
			}
			if nodes && t < len(w.Tiers)-1 {
				all = append(all, NodeOf(name))
			}
		}
	}
	if zones {
		all = append(all, w.Zones...)
	}
	return all
}

// parts lists all that a link can end at.
func (w *World) parts() []string {
	all := append(w.names(true, true, false), "discovery")
	for _, z := range w.Zones {
		all = append(all, clientsOf(z))
	}
	return all
}

func match(pattern string, names []string) (hit []string, err error) {
	for _, n := range names {
		ok, err := path.Match(pattern, n)
		if err != nil {
			return nil, err
		}
		if ok {
			hit = append(hit, n)
		}
	}
	return hit, nil
}

// Check says what is wrong with a fault, by its key under prefix.
func (f *Fault) Check(w *World, prefix string) error {
	kind, ok := faultKinds[f.Kind]
	if !ok {
		var all []string
		for k := range faultKinds {
			all = append(all, k)
		}
		sort.Strings(all)
		return &KeyError{prefix + "kind", fmt.Sprintf("%q is none of %s", f.Kind, strings.Join(all, ", "))}
	}
	if f.At < 0 || f.For < 0 || f.Jitter < 0 || f.Every < 0 {
		return &KeyError{prefix + "at", "a time is negative"}
	}
	if kind.lasts && f.For == 0 {
		return &KeyError{prefix + "for", f.Kind + " needs a length"}
	}
	patterns := map[string]string{}
	names := w.parts()
	if kind.link {
		patterns = map[string]string{"from": f.From, "to": f.To}
	} else if kind.nodes || kind.servers || kind.zones {
		patterns, names = map[string]string{"target": f.Target}, w.names(kind.nodes, kind.servers, kind.zones)
	}
	for key, p := range patterns {
		hit, err := match(p, names)
		if err != nil {
			return &KeyError{prefix + key, fmt.Sprintf("%q: %v", p, err)}
		}
		if len(hit) == 0 {
			return &KeyError{prefix + key, fmt.Sprintf("%q matches nothing; there are %s", p, strings.Join(names, " "))}
		}
	}
	for key, v := range map[string]float64{"share": f.Share, "loss": f.Loss, "dup": f.Dup, "reorder": f.Reorder} {
		if !(v >= 0 && v <= 1) {
			return &KeyError{prefix + key, "must be from 0 to 1"}
		}
	}
	if f.Kind == "slow" && !(f.Factor > 1) {
		return &KeyError{prefix + "factor", "slow needs one above 1"}
	}
	if (f.Kind == "errors" || f.Kind == "spoil") && f.Share == 0 {
		return &KeyError{prefix + "share", f.Kind + " needs one above 0"}
	}
	return nil
}

// Step is one beginning or end of a fault, at a drawn time.
type Step struct {
	At     time.Duration // since the load began
	Fault  Fault
	Target string // one part; empty for links and discovery
	Ends   bool
}

func (s Step) String() string {
	what := s.Fault.Kind
	switch {
	case s.Target != "":
		what += " " + s.Target
	case s.Fault.From != "":
		what += " " + s.Fault.From + "->" + s.Fault.To
	}
	if s.Ends {
		what += " ends"
	}
	return what
}

// Schedule draws the steps of a world's faults. The same world, faults and seed give the same steps.
func Schedule(w *World, faults []Fault, seed uint64) ([]Step, error) {
	r := rand.New(rand.NewPCG(seed, 2))
	var steps []Step
	for _, f := range faults {
		kind := faultKinds[f.Kind]
		targets := []string{""}
		if kind.nodes || kind.servers || kind.zones {
			var err error
			if targets, err = match(f.Target, w.names(kind.nodes, kind.servers, kind.zones)); err != nil {
				return nil, err
			}
			if f.Pick > 0 && f.Pick < len(targets) && f.Kind != "peers" && f.Kind != "hold" {
				r.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
				targets = targets[:f.Pick]
			}
		}
		for i, t := range targets {
			at := f.At + time.Duration(i)*f.Every
			if f.Jitter > 0 {
				at += time.Duration(r.Int64N(int64(f.Jitter)))
			}
			steps = append(steps, Step{At: at, Fault: f, Target: t})
			if f.For > 0 && f.Kind != "drain" && f.Kind != "term" && f.Kind != "hold" {
				steps = append(steps, Step{At: at + f.For, Fault: f, Target: t, Ends: true})
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps, nil
}

// LinksOfFaults returns the link patterns that the faults need a proxy for.
func LinksOfFaults(faults []Fault) (links []string) {
	for _, f := range faults {
		if f.From != "" {
			links = append(links, f.From+"->"+f.To)
		}
	}
	return links
}
