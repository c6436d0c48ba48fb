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
	"keelusher/internal/simulator"
	"keelusher/policy"
)

// Config is what the platform tells a node at its start.
type Config struct {
	Name             string
	Listen           string
	Control          string // where operators call; "": nowhere
	Discovery        string
	Seed             uint64
	Cores            float64
	MemoryMB         int
	Sockets          int
	KnownEndpoints   endpointList // the servers as this node last had them
	Settings         policy.Settings
	Fleet            *fleet.Config       // nil: the node knows of no others
	ProcessesChanged func(processes int) // told when so many processes share the limits; may be nil

	fleetPath             string        // as the configuration names it
	handoverSocket        string        // where a process that takes over this address finds this one; "": nowhere
	connectTimeout        time.Duration // a connection not up by then is given up
	connectionIdleTimeout time.Duration // a server closes a connection idle for this long
	removalGrace          time.Duration // a server may get something new so long after the news that it drains or is gone
}

// LoadConfig reads the configuration file. The error says in one line what is wrong with it.
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
	c.handoverSocket = handoverPath(os.Getenv("TMPDIR"), c.Listen)
	return c, nil
}

func parseConfig(text []byte) (Config, error) {
	var raw struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Control   string `json:"control"`
		Discovery string `json:"discovery"`
		Fleet     string `json:"fleet"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    endpointList    `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Config{}, err
	}
	c := Config{Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, KnownEndpoints: raw.Known, fleetPath: raw.Fleet,
		Cores: raw.Limits.Cores, MemoryMB: raw.Limits.MemoryMB, Sockets: raw.Limits.Sockets}
	c.Control = cmp.Or(raw.Control, os.Getenv("ROUTER_CONTROL"))
	for _, a := range []struct{ name, addr string }{{"listen", c.Listen}, {"control", c.Control}, {"discovery", c.Discovery}} {
		if a.name == "control" && a.addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return Config{}, fmt.Errorf("%s: %w", a.name, err)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: %w", err)
	}
	if c.Cores < 0 || c.MemoryMB < 0 || c.Sockets < 0 || c.Sockets > 0 && c.Sockets < 2*reservedDescriptors {
		return Config{}, errors.New("limits: out of range")
	}
	if len(raw.Settings) == 0 {
		return Config{}, errors.New("settings are missing")
	}
	if c.Settings, err = simulator.ParseSettings(raw.Settings); err != nil {
		return Config{}, err
	}
	// The module has no use for the settings of connections; they are the node's.
	var conns struct {
		Limits struct {
			ConnectTimeout float64 `json:"connect-timeout-ms"`
			ConnIdle       float64 `json:"conn-idle-ms"`
		} `json:"limits"`
		Rules struct {
			StopSending *float64 `json:"stop-sending-within-ms"`
		} `json:"rules"`
	}
	if err := json.Unmarshal(raw.Settings, &conns); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	c.connectTimeout = millis(conns.Limits.ConnectTimeout)
	c.connectionIdleTimeout = millis(conns.Limits.ConnIdle)
	c.removalGrace = defaultRemovalGrace
	if grace := conns.Rules.StopSending; grace != nil {
		c.removalGrace = millis(*grace)
	}
	if c.connectTimeout <= 0 || c.connectionIdleTimeout <= 0 {
		return Config{}, errors.New("settings: limits.connect-timeout-ms and limits.conn-idle-ms must be above 0")
	}
	return c, nil
}

// defaultRemovalGrace is the platform's, for settings that name none.
const defaultRemovalGrace = 3 * time.Second

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
