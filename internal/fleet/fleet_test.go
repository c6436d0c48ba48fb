package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validConfig = `name = "saskatoon"
[mesh]
listen = "127.0.0.1:5002"
seeds = ["n1=127.0.0.1:5002", "n2=127.0.0.2:5002"]
[mesh.dial]
n2 = "127.0.0.3:40000"
`

func load(t *testing.T, text string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

// checkRejected checks that Load rejects a text with an error that contains want.
func checkRejected(t *testing.T, text, want string) {
	t.Helper()
	if _, err := load(t, text); err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("got the error %v, want %q in it", err, want)
	}
}

// The error for an invalid fleet configuration has to say where the mistake is.
func TestInvalidFilesNameTheKeyAndLine(t *testing.T) {
	for _, test := range []struct{ name, old, changed, want string }{
		{"no name", "saskatoon", "", "fleet.toml:1: name: "},
		{"no address", "127.0.0.1:5002\"\nseeds", "nowhere\"\nseeds", "fleet.toml:3: mesh.listen: "},
		{
			"a host name", "127.0.0.1:5002\"\nseeds", "localhost:1\"\nseeds",
			`fleet.toml:3: mesh.listen: "localhost" is not an IPv4 address`,
		},
		{
			"a seed twice", "n2=", "n1=",
			`fleet.toml:4: mesh.seeds: "n1=127.0.0.2:5002" is not NAME=ADDRESS with a unique name`,
		},
		{"a bad address to dial", `"127.0.0.3:40000"`, `"x"`, "mesh.dial: n2 = \"x\""},
		{"a short probe interval", "[mesh]\n", "[mesh]\nprobe = \"1ms\"\n", "fleet.toml:3: mesh.probe: must be from"},
		{"a key of overrides", "[mesh]\n", "[orders]\nmost = 1\n[mesh]\n", "orders.most: unknown key"},
		{"an unknown key", "[mesh]\n", "[mesh]\nprobes = 1\n", "fleet.toml:3: mesh.probes: unknown key"},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkRejected(t, strings.Replace(validConfig, test.old, test.changed, 1), test.want)
		})
	}
}

func TestOverridesNeedAMesh(t *testing.T) {
	checkRejected(t, "name = \"x\"\n[orders]\n", "fleet.toml:2: orders: needs [mesh]")
}

func TestValidConfig(t *testing.T) {
	c, err := load(t, validConfig)
	if err != nil || c.Mesh == nil || c.Mesh.ProbeInterval != 400*time.Millisecond || c.Mesh.DialAddresses["n2"] == "" {
		t.Errorf("loaded %+v, error %v", c, err)
	}
}

func TestConfigWithoutMesh(t *testing.T) {
	if c, err := load(t, `name = "x"`); err != nil || c.Mesh != nil {
		t.Errorf("loaded %+v, error %v, want no mesh", c, err)
	}
}
