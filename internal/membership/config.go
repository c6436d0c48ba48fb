package membership

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"
)

const defaultProbeInterval = 400 * time.Millisecond

// ErrInvalidName is the error of a configuration without a usable fleet or member name.
var ErrInvalidName = errors.New("a fleet and a name without " + idSeparator + " are needed")

// Config is the identity of this process, and the addresses of its fleet.
type Config struct {
	Fleet   string // processes of other fleets are ignored
	Name    string // of the member that this process is
	Zone    string
	Region  string
	Tier    int
	Version string
	Digest  string // of the configuration, shown to the operators
	Listen  string // address for UDP and TCP

	Seeds   []string          // NAME=ADDRESS, the same in all processes
	Dial    map[string]string // by name: addresses for peers that differ from the advertised ones
	Probe   time.Duration     // interval of the failure detector; default: 400 ms
	Log     *slog.Logger
	Started time.Time // of the process, by its wall clock; default: now

	// OnMessage takes what another member's Send sent. It must not block, and may be nil.
	OnMessage func(from string, body []byte)
	// OnViewChange is called by the mesh's goroutine whenever the view may have changed. It must not block, and may be
	// nil.
	OnViewChange func(View)
}

func (c *Config) validate() error {
	if c.Name == "" || c.Fleet == "" || strings.Contains(c.Name, idSeparator) {
		return fmt.Errorf("membership: fleet %q, name %q: %w", c.Fleet, c.Name, ErrInvalidName)
	}
	return nil
}

func (c *Config) setDefaults(now time.Time) {
	if c.Probe == 0 {
		c.Probe = defaultProbeInterval
	}
	if c.Started.IsZero() {
		c.Started = now
	}
}

// seedNames are the names of the seeds, the first member list.
func (c *Config) seedNames() []string {
	var names []string
	for _, seed := range c.Seeds {
		name, _, _ := strings.Cut(seed, "=")
		names = append(names, name)
	}
	return names
}

// localMetadata is what this process publishes of itself at its start.
func (c *Config) localMetadata() metadata {
	return metadata{
		Incarnation: uint64(max(1, c.Started.UnixMilli())),
		Phase:       phaseJoining,
		Zone:        c.Zone,
		Region:      c.Region,
		Tier:        c.Tier,
		Version:     c.Version,
		Digest:      c.Digest,
	}
}
