// Package fleet reads the fleet configuration, a TOML file that turns on what a node does together with others. A part
// that the file does not name is off.
package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"keelusher/internal/tomlfile"
)

// Config is a fleet configuration.
type Config struct {
	Name      string    `toml:"name"`   // of the fleet; processes of other fleets are strangers
	Region    string    `toml:"region"` // of this node; default: its zone
	Mesh      *Mesh     `toml:"mesh"`   // nil: no membership
	Overrides *struct{} `toml:"orders"` // nil: no overrides
}

// Mesh configures membership.
type Mesh struct {
	Listen        string            `toml:"listen"` // address for UDP and TCP; peers know this one
	Seeds         []string          `toml:"seeds"`  // NAME=ADDRESS of some members, the same on all; they found the first roster
	DialAddresses map[string]string `toml:"dial"`   // this process's own addresses for peers, by name
	ProbeInterval time.Duration     `toml:"probe"`  // between two probes; default 400 ms
}

// Limits of the values.
const (
	minProbeInterval = 50 * time.Millisecond
	maxProbeInterval = 10 * time.Second
	maxSeeds         = 64
	maxDialAddresses = 4096
	maxNameBytes     = 64 // bytes of a name
)

// Load reads and checks a fleet configuration. The error joins a tomlfile.Problem for each thing wrong.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet configuration: %w", err)
	}
	c := &Config{}
	if err := tomlfile.Decode(path, text, c); err != nil {
		return nil, err
	}
	var all []error
	bad := func(key, format string, args ...any) {
		all = append(all, tomlfile.ProblemAt(path, text, key, fmt.Sprintf(format, args...)))
	}
	if c.Name == "" || len(c.Name) > maxNameBytes {
		bad("name", "must have 1 to %d bytes", maxNameBytes)
	}
	if len(c.Region) > maxNameBytes {
		bad("region", "has over %d bytes", maxNameBytes)
	}
	if c.Mesh != nil {
		c.Mesh.check(bad)
	}
	if c.Overrides != nil && c.Mesh == nil {
		bad("orders", "needs [mesh]")
	}
	return c, errors.Join(all...)
}

func (m *Mesh) check(bad func(key, format string, args ...any)) {
	if err := address(m.Listen); err != nil {
		bad("mesh.listen", "%v", err)
	}
	if m.ProbeInterval == 0 {
		m.ProbeInterval = 400 * time.Millisecond
	}
	if m.ProbeInterval < minProbeInterval || m.ProbeInterval > maxProbeInterval {
		bad("mesh.probe", "must be from %v to %v", minProbeInterval, maxProbeInterval)
	}
	if len(m.Seeds) > maxSeeds || len(m.DialAddresses) > maxDialAddresses {
		bad("mesh.seeds", "at most %d seeds and %d addresses to dial", maxSeeds, maxDialAddresses)
	}
	seen := map[string]bool{}
	for _, s := range m.Seeds {
		name, addr, _ := strings.Cut(s, "=")
		if err := address(addr); err != nil || name == "" || len(name) > maxNameBytes || seen[name] {
			bad("mesh.seeds", "%q is not NAME=ADDRESS with a name of its own: %v", s, err)
		}
		seen[name] = true
	}
	for name, addr := range m.DialAddresses {
		if err := address(addr); err != nil || name == "" || len(name) > maxNameBytes {
			bad("mesh.dial", "%s = %q: %v", name, addr, err)
		}
	}
}

// address checks for an IPv4 address and a port: there are no names to resolve on the platform.
func address(text string) error {
	host, _, err := net.SplitHostPort(text)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || ip.To4() == nil {
		return fmt.Errorf("%q is no IPv4 address", host)
	}
	return nil
}
