package membership

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"
)

const defaultProbeInterval = 400 * time.Millisecond

// ErrInvalidName is returned for a configuration without a valid fleet name or member name.
var ErrInvalidName = errors.New("fleet and name are required; the name must contain no " + idSeparator + " character")

// Config holds the identity of this process, the addresses of its fleet and the callbacks of the mesh.
type Config struct {
	Fleet   string // processes of other fleets are ignored
	Name    string // of the member that this process runs as
	Zone    string
	Region  string
	Tier    int
	Version string
	Digest  string // of the process's configuration, shown to operators
	Listen  string // address, for both UDP and TCP

	Seeds   []string          // as NAME=ADDRESS, the same in all processes of the fleet
	Dial    map[string]string // by member name: the address to use in place of the advertised one
	Probe   time.Duration     // probe interval of the failure detector; default: 400 ms
	Log     *slog.Logger
	Started time.Time // start of the process by the wall clock; default: now

	// OnMessage is called with each message that another member has sent with Send. It must not block, and may be nil.
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

// seedNames returns the names of the seeds, which form the first member list.
func (c *Config) seedNames() []string {
	var names []string
	for _, seed := range c.Seeds {
		name, _, _ := strings.Cut(seed, "=")
		names = append(names, name)
	}
	return names
}

// localMetadata returns the metadata that this process publishes at its start.
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
