// Package experiment runs experiments in the testbed: one file describes the world, the load, the schedule of faults,
// the variants to compare and the seeds. Variants are paired by seed: each seed's arrivals are the same for all.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"time"

	"keelusher/internal/testbed"
	"keelusher/internal/tomlfile"
)

// File is an experiment.
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
	Variants []Variant       `toml:"variant"` // default: one, named "base"
}

// Variant is a way to run the nodes. The first one is what the others are compared with.
type Variant struct {
	Name   string   `toml:"name"`
	Binary string   `toml:"binary"` // default: the one given to the tool
	Args   []string `toml:"args"`
	Env    []string `toml:"env"` // NAME=value

	Fleet testbed.Tables `toml:"fleet"` // in place of the world's; {} turns all of it off
}

const (
	maxLength = 2 * time.Hour
	maxRuns   = 1000
)

// Load reads and checks an experiment. The error joins one tomlfile.Problem for each thing found wrong.
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
			all = append(all, tomlfile.Problem{File: path, Why: err.Error()})
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

// check sets the defaults of the file's own keys and returns what is wrong with them.
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
		bad("window", "must be from 100 ms to the length")
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
		bad("repeat", "%d runs, at most %d", n, maxRuns)
	}
	seen := map[string]bool{}
	for i, v := range f.Variants {
		if v.Name == "" || seen[v.Name] {
			bad(fmt.Sprintf("variant[%d].name", i), "%q is empty or taken", v.Name)
		}
		seen[v.Name] = true
	}
	return all
}

// Runs is how many runs the experiment has.
func (f *File) Runs() int { return len(f.Seeds) * f.Repeat * len(f.Variants) }
