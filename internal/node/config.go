package node

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"keelusher/internal/fleet"
	"keelusher/internal/handover"
	"keelusher/internal/simulator"
	"keelusher/policy"
)

// Config is the configuration of a node, which the platform provides at its start.
type Config struct {
	Name             string
	Listen           string
	Control          string // address of the admin endpoint; "": there is none
	Discovery        string
	Seed             uint64
	Cores            float64
	MemoryMB         int
	Sockets          int          // limit on file descriptors; 0: none is set
	KnownEndpoints   endpointList // last known list, used until discovery sends one
	Settings         policy.Settings
	Fleet            *fleet.Config       // nil: none is configured, and the node has no contact with other nodes
	ProcessesChanged func(processes int) // called when the number of processes that share the limits changes; may be nil

	fleetPath             string        // path of the fleet configuration; "": none is named
	handoverSocket        string        // Unix socket where a successor of this process connects; "": there is none
	connectTimeout        time.Duration // for establishing a connection to a server
	connectionIdleTimeout time.Duration // after this time servers close an idle connection
	removalGrace          time.Duration // how long after the update a draining or removed endpoint may get requests
}

// defaultRemovalGrace is the removal grace of the platform. It is used if the settings contain none.
const defaultRemovalGrace = 3 * time.Second

// LoadConfig reads and checks the configuration file. The text of the error is one line.
func LoadConfig(path string) (Config, error) {
	if path == "" {
		return Config{}, errors.New("configuration: no file is named (ROUTER_CONFIG is empty)")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := parseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	if err := c.loadFleet(cmp.Or(c.fleetPath, os.Getenv("ROUTER_FLEET"))); err != nil {
		return Config{}, err
	}
	if c.Sockets > 0 && c.Sockets < 2*c.reservedDescriptors() {
		return Config{}, fmt.Errorf("configuration %s: limits: %d sockets are too few with a mesh", path, c.Sockets)
	}
	c.handoverSocket = handover.Path(os.Getenv("TMPDIR"), c.Listen)
	return c, nil
}

// configFile is the JSON form of the configuration file.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Control   string          `json:"control"`
	Discovery string          `json:"discovery"`
	Fleet     string          `json:"fleet"`
	Seed      string          `json:"seed"`
	Limits    limitsFile      `json:"limits"`
	Known     endpointList    `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

type limitsFile struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

func parseConfig(text []byte) (Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, err
	}
	c := Config{
		Name:           file.Name,
		Listen:         file.Listen,
		Control:        cmp.Or(file.Control, os.Getenv("ROUTER_CONTROL")),
		Discovery:      file.Discovery,
		Cores:          file.Limits.Cores,
		MemoryMB:       file.Limits.MemoryMB,
		Sockets:        file.Limits.Sockets,
		KnownEndpoints: file.Known,
		fleetPath:      file.Fleet,
	}
	if err := c.checkAddresses(); err != nil {
		return Config{}, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: %w", err)
	}
	if err := c.checkLimits(); err != nil {
		return Config{}, err
	}
	if len(file.Settings) == 0 {
		return Config{}, errors.New("settings are missing")
	}
	if c.Settings, err = simulator.ParseSettings(file.Settings); err != nil {
		return Config{}, err
	}
	if err := c.parseConnectionSettings(file.Settings); err != nil {
		return Config{}, err
	}
	return c, nil
}

func (c *Config) checkAddresses() error {
	addresses := []struct {
		key, address string
		optional     bool
	}{
		{key: "listen", address: c.Listen},
		{key: "control", address: c.Control, optional: true},
		{key: "discovery", address: c.Discovery},
	}
	for _, a := range addresses {
		if a.optional && a.address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return fmt.Errorf("%s: %w", a.key, err)
		}
	}
	return nil
}

func (c *Config) checkLimits() error {
	if c.Cores < 0 || c.MemoryMB < 0 || c.Sockets < 0 {
		return errLimits
	}
	if c.Sockets > 0 && c.Sockets < 2*baseReservedDescriptors {
		return errLimits
	}
	return nil
}

var errLimits = errors.New("limits: out of range")

// connectionSettings are those settings that concern connections. The policy does not use them.
type connectionSettings struct {
	Limits struct {
		ConnectTimeout float64 `json:"connect-timeout-ms"`
		IdleTimeout    float64 `json:"conn-idle-ms"`
	} `json:"limits"`
	Rules struct {
		StopSending *float64 `json:"stop-sending-within-ms"`
	} `json:"rules"`
}

func (c *Config) parseConnectionSettings(text []byte) error {
	var settings connectionSettings
	if err := json.Unmarshal(text, &settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.connectTimeout = millis(settings.Limits.ConnectTimeout)
	c.connectionIdleTimeout = millis(settings.Limits.IdleTimeout)
	c.removalGrace = defaultRemovalGrace
	if grace := settings.Rules.StopSending; grace != nil {
		c.removalGrace = millis(*grace)
	}
	if c.connectTimeout <= 0 || c.connectionIdleTimeout <= 0 {
		return errors.New("settings: limits.connect-timeout-ms and limits.conn-idle-ms must be above 0")
	}
	return nil
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
