package testbed

import (
	"fmt"
	"math/rand/v2"
	"path"
	"slices"
	"strings"
	"time"
)

// FaultKind is a kind of fault as experiment files name it. The comment of Fault describes each kind.
type FaultKind string

// The kinds of fault.
const (
	FaultKill                  FaultKind = "kill"
	FaultTerminate             FaultKind = "term"
	FaultStop                  FaultKind = "stop"
	FaultPause                 FaultKind = "hold"
	FaultReload                FaultKind = "reload"
	FaultSignals               FaultKind = "signals"
	FaultImproperClients       FaultKind = "peers"
	FaultConnectionFlood       FaultKind = "crowd"
	FaultCrash                 FaultKind = "crash"
	FaultSlow                  FaultKind = "slow"
	FaultErrors                FaultKind = "errors"
	FaultHang                  FaultKind = "hang"
	FaultCorruptResponses      FaultKind = "spoil"
	FaultSilent                FaultKind = "silent"
	FaultDrain                 FaultKind = "drain"
	FaultReplace               FaultKind = "replace"
	FaultZone                  FaultKind = "zone"
	FaultCut                   FaultKind = "cut"
	FaultSplit                 FaultKind = "split"
	FaultLink                  FaultKind = "link"
	FaultReset                 FaultKind = "reset"
	FaultDiscoveryDown         FaultKind = "disc_down"
	FaultDiscoveryFail         FaultKind = "disc_fail"
	FaultDiscoverySlow         FaultKind = "disc_slow"
	FaultDiscoveryUnresponsive FaultKind = "disc_dumb"
	FaultDiscoveryTrickle      FaultKind = "disc_trickle"
	FaultDiscoveryCut          FaultKind = "disc_cut"
	FaultDiscoveryIndent       FaultKind = "disc_indent"
	FaultDiscoveryMute         FaultKind = "disc_mute"
	FaultDiscoveryRenumber     FaultKind = "disc_renumber"
)

// Fault is one entry of a fault schedule. It begins at At plus a uniformly random time from 0 to Jitter, and lasts For.
//
// Kinds that name Target, a pattern of nodes ("n1", "n*", "n@front-?"), servers ("rooms-*") or zones:
//
//	kill      SIGKILL a node; it is started again after For (0: never)
//	term      SIGTERM a node; started again For after its process has exited. Clients, each on one persistent
//	          connection, send requests to it until then
//	stop      SIGSTOP a node for For
//	hold      SIGSTOP a node for For (20 to 150 ms), Pick times in a row, as on a slow machine; requests that the
//	          node loses meanwhile are findings
//	signals   send a node Signals at intervals of Gap; with SIGTERM among them, it ends and starts again as with term.
//	          A SIGSTOP among them counts as a hold
//	reload    move a node's discovery to another address and send SIGHUP
//	peers     Pick improper clients connect to a node; they stop in the middle of a request, stay idle or flood the node
//	crowd     Pick clients take up the connections of a node for For: proper clients that stay idle, proper clients that
//	          disconnect, and clients that never complete the head of a request
//	crash     kill a server and its node; both are started again after For (0: never), the server in slow start
//	slow      a server takes Factor times as long for its work
//	errors    a server answers a Share of its requests with 500
//	hang      a server accepts requests and answers none
//	spoil     a server corrupts a Share of its responses: it sends a response twice, sends half of one without a length,
//	          or closes the connection after one
//	silent    a server neither reads nor writes, as if its machine had vanished from the network
//	drain     discovery lists a server as draining, and removes it after For
//	replace   discovery lists a server as draining; after For a new process takes its place, in slow start, and is listed
//	          once its node is ready
//	zone      all servers of a zone are silent and, with Nodes set, its nodes are stopped; discovery removes the servers
//	          after Late; at the end all start again, the servers in slow start
//
// Kinds that name From and To, patterns of any two parts (nodes, servers, "clients-ZONE", "discovery"):
//
//	cut       nothing is delivered in that direction
//	split     nothing is delivered in either direction
//	link      Delay, Jittered, Loss, Dup, Reorder and Rate apply in that direction
//	reset     every connection from From to To is reset, once
//
// Kinds that apply to discovery: disc_down, disc_fail, disc_slow (by Delay), disc_dumb, disc_trickle, disc_cut and
// disc_indent set the fields of DiscoveryFault. Two kinds happen once: disc_mute (open watches send nothing further)
// and disc_renumber (discovery restarts with other sequence numbers: higher ones if Factor is above 1, else from 1).
type Fault struct {
	Kind   FaultKind     `toml:"kind"`
	At     time.Duration `toml:"at"`
	For    time.Duration `toml:"for"`
	Jitter time.Duration `toml:"jitter"`
	Target string        `toml:"target"`
	Pick   int           `toml:"pick"`  // number of matching targets to draw (some kinds: of clients or pauses); 0: all
	Every  time.Duration `toml:"every"` // interval between the starts at two targets
	From   string        `toml:"from"`
	To     string        `toml:"to"`
	Factor float64       `toml:"factor"`
	Share  float64       `toml:"share"`
	Nodes  bool          `toml:"nodes"`
	Late   time.Duration `toml:"late"`

	Clients int           `toml:"clients"` // per target
	Signals []Signal      `toml:"signals"`
	Gap     time.Duration `toml:"gap"` // interval between two signals

	Delay    time.Duration `toml:"delay"`
	Jittered time.Duration `toml:"jittered"`
	Loss     float64       `toml:"loss"`
	Dup      float64       `toml:"dup"`
	Reorder  float64       `toml:"reorder"`
	Rate     int           `toml:"rate"`
}

// faultTraits holds what a kind of fault applies to, and whether it needs a duration (lasts).
type faultTraits struct{ nodes, servers, zones, link, lasts bool }

// hasTarget reports whether faults of the kind name a Target.
func (k faultTraits) hasTarget() bool { return k.nodes || k.servers || k.zones }

var traitsOfKind = map[FaultKind]faultTraits{
	FaultKill:            {nodes: true},
	FaultTerminate:       {nodes: true},
	FaultStop:            {nodes: true, lasts: true},
	FaultPause:           {nodes: true, lasts: true},
	FaultReload:          {nodes: true},
	FaultSignals:         {nodes: true},
	FaultImproperClients: {nodes: true},
	FaultConnectionFlood: {nodes: true, lasts: true},

	FaultCrash:            {servers: true},
	FaultSlow:             {servers: true, lasts: true},
	FaultErrors:           {servers: true, lasts: true},
	FaultHang:             {servers: true, lasts: true},
	FaultCorruptResponses: {servers: true, lasts: true},
	FaultSilent:           {servers: true, lasts: true},
	FaultDrain:            {servers: true, lasts: true},
	FaultReplace:          {servers: true, lasts: true},

	FaultZone: {zones: true, lasts: true},

	FaultCut:   {link: true, lasts: true},
	FaultSplit: {link: true, lasts: true},
	FaultLink:  {link: true, lasts: true},
	FaultReset: {link: true},

	FaultDiscoveryDown:         {lasts: true},
	FaultDiscoveryFail:         {lasts: true},
	FaultDiscoverySlow:         {lasts: true},
	FaultDiscoveryUnresponsive: {lasts: true},
	FaultDiscoveryTrickle:      {lasts: true},
	FaultDiscoveryCut:          {lasts: true},
	FaultDiscoveryIndent:       {lasts: true},
	FaultDiscoveryMute:         {},
	FaultDiscoveryRenumber:     {},
}

// targetNames returns the names of the parts that a kind of fault can target, in the order of their numbers.
func (w *World) targetNames(kind faultTraits) (all []string) {
	if kind.nodes {
		for i := range w.Tiers[0].Nodes {
			all = append(all, fmt.Sprintf("n%d", i+1))
		}
	}
	for t, tier := range w.Tiers {
		for i := range tier.Servers {
			name := fmt.Sprintf("%s-%d", tier.Name, i+1)
			if kind.servers {
				all = append(all, name)
			}
			if kind.nodes && t < len(w.Tiers)-1 {
				all = append(all, NodeOf(name))
			}
		}
	}
	if kind.zones {
		all = append(all, w.Zones...)
	}
	return all
}

// partNames returns the names of all parts that a link can connect.
func (w *World) partNames() []string {
	all := append(w.targetNames(faultTraits{nodes: true, servers: true}), "discovery")
	for _, z := range w.Zones {
		all = append(all, clientsOf(z))
	}
	return all
}

// match returns the names that a pattern matches.
func match(pattern string, names []string) (matching []string, err error) {
	for _, n := range names {
		ok, err := path.Match(pattern, n)
		if err != nil {
			return nil, err
		}
		if ok {
			matching = append(matching, n)
		}
	}
	return matching, nil
}

// Check validates a fault. It returns a KeyError whose key starts with prefix for the first invalid setting.
func (f *Fault) Check(w *World, prefix string) error {
	kind, ok := traitsOfKind[f.Kind]
	if !ok {
		return &KeyError{prefix + "kind", fmt.Sprintf("%q is none of %s", f.Kind, knownKinds())}
	}
	if f.At < 0 || f.For < 0 || f.Jitter < 0 || f.Every < 0 || f.Gap < 0 {
		return &KeyError{prefix + "at", "at, for, jitter, every and gap must not be negative"}
	}
	if kind.lasts && f.For == 0 {
		return &KeyError{prefix + "for", string(f.Kind) + " needs a duration above 0"}
	}
	if err := f.checkPatterns(kind, w, prefix); err != nil {
		return err
	}
	return f.checkNumbers(prefix)
}

// knownKinds returns the kinds of fault, sorted and separated by commas.
func knownKinds() string {
	var kinds []string
	for kind := range traitsOfKind {
		kinds = append(kinds, string(kind))
	}
	slices.Sort(kinds)
	return strings.Join(kinds, ", ")
}

// checkPatterns checks that each pattern of the fault matches at least one part of the world.
func (f *Fault) checkPatterns(kind faultTraits, w *World, prefix string) error {
	patterns := map[string]string{}
	names := w.partNames()
	if kind.link {
		patterns["from"] = f.From
		patterns["to"] = f.To
	} else if kind.hasTarget() {
		patterns["target"] = f.Target
		names = w.targetNames(kind)
	}
	for key, pattern := range patterns {
		matching, err := match(pattern, names)
		if err != nil {
			return &KeyError{prefix + key, fmt.Sprintf("%q: %v", pattern, err)}
		}
		if len(matching) == 0 {
			why := fmt.Sprintf("%q matches nothing; there are %s", pattern, strings.Join(names, " "))
			return &KeyError{prefix + key, why}
		}
	}
	return nil
}

// checkNumbers checks the fault's shares, factor and signals.
func (f *Fault) checkNumbers(prefix string) error {
	shares := map[string]float64{"share": f.Share, "loss": f.Loss, "dup": f.Dup, "reorder": f.Reorder}
	for key, v := range shares {
		if !(v >= 0 && v <= 1) {
			return &KeyError{prefix + key, "must be from 0 to 1"}
		}
	}
	if f.Kind == FaultSlow && !(f.Factor > 1) {
		return &KeyError{prefix + "factor", "slow needs a factor above 1"}
	}
	if f.Kind == FaultSignals && len(f.Signals) == 0 {
		return &KeyError{prefix + "signals", "signals needs at least one signal"}
	}
	for _, signal := range f.Signals {
		if _, known := signalNumbers[signal]; !known {
			return &KeyError{prefix + "signals", fmt.Sprintf("%q is none of term, hup, stop, cont", signal)}
		}
	}
	if (f.Kind == FaultErrors || f.Kind == FaultCorruptResponses) && f.Share == 0 {
		return &KeyError{prefix + "share", string(f.Kind) + " needs a share above 0"}
	}
	return nil
}

// Step is the beginning or end of a fault at one target, at the time that was drawn for it.
type Step struct {
	At     time.Duration // since the start of the schedule
	Fault  Fault
	Target string // name of a part; empty for links and discovery
	Ends   bool   // the step ends the fault
}

// String returns the step's name in schedules and results.
func (s Step) String() string {
	what := string(s.Fault.Kind)
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

// Schedule draws the targets and times of faults and returns their steps, sorted by time. The same world, faults and
// seed give the same steps.
func Schedule(w *World, faults []Fault, seed uint64) ([]Step, error) {
	r := rand.New(rand.NewPCG(seed, 2))
	var steps []Step
	for _, f := range faults {
		targets, err := f.drawTargets(w, r)
		if err != nil {
			return nil, err
		}
		for i, target := range targets {
			at := f.At + time.Duration(i)*f.Every
			if f.Jitter > 0 {
				at += time.Duration(r.Int64N(int64(f.Jitter)))
			}
			steps = append(steps, Step{At: at, Fault: f, Target: target})
			if f.hasEndStep() {
				steps = append(steps, Step{At: at + f.For, Fault: f, Target: target, Ends: true})
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps, nil
}

// drawTargets returns the names of the parts that a fault applies to, or one empty name for a fault without a target.
func (f *Fault) drawTargets(w *World, r *rand.Rand) ([]string, error) {
	kind := traitsOfKind[f.Kind]
	if !kind.hasTarget() {
		return []string{""}, nil
	}
	targets, err := match(f.Target, w.targetNames(kind))
	if err != nil {
		return nil, err
	}
	// For these kinds Pick counts clients or pauses, not targets.
	countsOther := f.Kind == FaultImproperClients || f.Kind == FaultPause || f.Kind == FaultConnectionFlood
	picksTargets := !countsOther
	if picksTargets && f.Pick > 0 && f.Pick < len(targets) {
		r.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:f.Pick]
	}
	return targets, nil
}

// hasEndStep reports whether the schedule needs a step that ends the fault. Faults of the kinds that are listed here
// end without one.
func (f *Fault) hasEndStep() bool {
	switch f.Kind {
	case FaultDrain, FaultTerminate, FaultPause, FaultSignals, FaultConnectionFlood:
		return false
	}
	return f.For > 0
}

// LinksOfFaults returns the patterns of the links that need a proxy so that the faults can apply to them.
func LinksOfFaults(faults []Fault) (links []string) {
	for _, f := range faults {
		if f.From != "" {
			links = append(links, f.From+"->"+f.To)
		}
	}
	return links
}
