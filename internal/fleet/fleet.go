// Package fleet reads the fleet configuration, a TOML file that enables the features for which nodes cooperate:
// membership and overrides. A feature without a table in the file is off.
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
	Name      string    `toml:"name"`   // of the fleet; nodes of other fleets cannot become members
	Region    string    `toml:"region"` // region of this node; default: its zone
	Mesh      *Mesh     `toml:"mesh"`   // nil: no membership
	Overrides *struct{} `toml:"orders"` // nil: no overrides
}

// Mesh configures membership.
type Mesh struct {
	Listen        string            `toml:"listen"` // address for UDP and TCP, announced to the other nodes
	Seeds         []string          `toml:"seeds"`  // NAME=ADDRESS of the initial members; the same on all nodes
	DialAddresses map[string]string `toml:"dial"`   // by member; used by this process in place of the member's own address
	ProbeInterval time.Duration     `toml:"probe"`  // between two probes; default: defaultProbeInterval
}

const (
	defaultProbeInterval = 400 * time.Millisecond
	minProbeInterval     = 50 * time.Millisecond
	maxProbeInterval     = 10 * time.Second
	maxSeeds             = 64
	maxDialAddresses     = 4096
	maxNameBytes         = 64
)

// Load reads and checks a fleet configuration. The error joins a tomlfile.Problem for each invalid value.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet configuration: %w", err)
	}
	c := &Config{}
	if err := tomlfile.Decode(path, text, c); err != nil {
		return nil, err
	}
	p := &problems{path: path, text: text}
	c.check(p)
	return c, errors.Join(p.found...)
}

// problems collects the invalid values of a file.
type problems struct {
	path  string
	text  []byte
	found []error
}

func (p *problems) add(key, format string, args ...any) {
	p.found = append(p.found, tomlfile.ProblemAt(p.path, p.text, key, fmt.Sprintf(format, args...)))
}

func (c *Config) check(p *problems) {
	if c.Name == "" || len(c.Name) > maxNameBytes {
		p.add("name", "must have from 1 to %d bytes", maxNameBytes)
	}
	if len(c.Region) > maxNameBytes {
		p.add("region", "must have at most %d bytes", maxNameBytes)
	}
	if c.Mesh != nil {
		c.Mesh.setDefaults()
		c.Mesh.check(p)
	}
	if c.Overrides != nil && c.Mesh == nil {
		p.add("orders", "needs [mesh]")
	}
}

func (m *Mesh) setDefaults() {
	if m.ProbeInterval == 0 {
		m.ProbeInterval = defaultProbeInterval
	}
}

func (m *Mesh) check(p *problems) {
	if err := checkAddress(m.Listen); err != nil {
		p.add("mesh.listen", "%v", err)
	}
	if m.ProbeInterval < minProbeInterval || m.ProbeInterval > maxProbeInterval {
		p.add("mesh.probe", "must be from %v to %v", minProbeInterval, maxProbeInterval)
	}
	if len(m.Seeds) > maxSeeds || len(m.DialAddresses) > maxDialAddresses {
		p.add("mesh.seeds", "must have at most %d seeds, and [mesh.dial] at most %d addresses", maxSeeds, maxDialAddresses)
	}
	m.checkSeeds(p)
	for name, address := range m.DialAddresses {
		if err := checkAddress(address); err != nil || !isValidName(name) {
			p.add("mesh.dial", "%s = %q: %v", name, address, err)
		}
	}
}

func (m *Mesh) checkSeeds(p *problems) {
	seen := map[string]bool{}
	for _, seed := range m.Seeds {
		name, address, _ := strings.Cut(seed, "=")
		if err := checkAddress(address); err != nil || !isValidName(name) || seen[name] {
			p.add("mesh.seeds", "%q is not NAME=ADDRESS with a unique name: %v", seed, err)
		}
		seen[name] = true
	}
}

func isValidName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// checkAddress returns an error unless address is an IPv4 address with a port. Host names are not allowed, since the
// platform has no name resolution.
func checkAddress(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || ip.To4() == nil {
		return fmt.Errorf("%q is not an IPv4 address", host)
	}
	return nil
}
