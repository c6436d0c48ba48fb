// Package experiment runs experiments in the test bed. One file describes the world, the load, the schedule of faults,
// the variants to compare and the seeds. Variants are paired by seed: all of them get the same arrivals for a seed.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"time"

	"keelusher/internal/testbed"
	"keelusher/internal/tomlfile"
)

// File is the description of an experiment, as read from its file.
type File struct {
	Name     string          `toml:"name"`
	About    string          `toml:"about"`
	Length   time.Duration   `toml:"length"`
	Window   time.Duration   `toml:"window"` // default 1 s
	Seeds    []uint64        `toml:"seeds"`  // default 1
	Repeat   int             `toml:"repeat"` // runs of each seed; default 1
	World    testbed.World   `toml:"world"`
	Load     testbed.Load    `toml:"load"`
	Faults   []testbed.Fault `toml:"fault"`
	Variants []Variant       `toml:"variant"` // default: one variant named "base"
}

// Variant is a way to run the nodes. The others are compared with the first one.
type Variant struct {
	Name   string   `toml:"name"`
	Binary string   `toml:"binary"` // default: the binary that the command was given
	Args   []string `toml:"args"`
	Env    []string `toml:"env"` // NAME=value

	Fleet testbed.Tables `toml:"fleet"` // replaces the world's fleet configuration; {}: the nodes have none
}

const (
	maxLength = 2 * time.Hour
	maxRuns   = 1000
)

// Load reads and checks the file of an experiment. The error joins a tomlfile.Problem for each problem found.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &File{}
	if err := tomlfile.Decode(path, text, f); err != nil {
		return nil, err
	}
	var all []error
	bad := func(err error, under string) {
		var key *testbed.KeyError
		if errors.As(err, &key) {
			all = append(all, tomlfile.ProblemAt(path, text, under+key.Key, key.Why))
		} else if err != nil {
			all = append(all, tomlfile.Problem{File: path, Reason: err.Error()})
		}
	}
	for _, err := range f.check() {
		bad(err, "")
	}
	f.World.Links = append(f.World.Links, testbed.LinksOfFaults(f.Faults)...)
	if err := f.World.Fill(); err != nil {
		bad(err, "world.")
	} else {
		bad(f.Load.Fill(&f.World), "")
		for i := range f.Faults {
			bad(f.Faults[i].Check(&f.World, fmt.Sprintf("fault[%d].", i)), "")
		}
	}
	return f, errors.Join(all...)
}

// check sets the defaults of the file's top-level keys, and returns an error for each invalid one.
func (f *File) check() (all []error) {
	bad := func(key, format string, args ...any) {
		all = append(all, &testbed.KeyError{Key: key, Why: fmt.Sprintf(format, args...)})
	}
	if f.Name == "" {
		bad("name", "is empty")
	}
	if f.Length <= 0 || f.Length > maxLength {
		bad("length", "must be above 0 and at most %v", maxLength)
	}
	if f.Window == 0 {
		f.Window = time.Second
	}
	if f.Window < 100*time.Millisecond || f.Window > max(f.Length, time.Second) {
		bad("window", "must be at least 100 ms and at most the greater of the length and 1 s")
	}
	if len(f.Seeds) == 0 {
		f.Seeds = []uint64{1}
	}
	if f.Repeat == 0 {
		f.Repeat = 1
	}
	if len(f.Variants) == 0 {
		f.Variants = []Variant{{Name: "base"}}
	}
	if n := len(f.Seeds) * f.Repeat * len(f.Variants); f.Repeat < 0 || n > maxRuns {
		bad("repeat", "the experiment has %d runs, at most %d are allowed", n, maxRuns)
	}
	seen := map[string]bool{}
	for i, v := range f.Variants {
		if v.Name == "" || seen[v.Name] {
			bad(fmt.Sprintf("variant[%d].name", i), "%q is empty or the name of an earlier variant", v.Name)
		}
		seen[v.Name] = true
	}
	return all
}

// Runs returns the number of runs of the experiment.
func (f *File) Runs() int { return len(f.Seeds) * f.Repeat * len(f.Variants) }
