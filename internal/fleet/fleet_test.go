package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const good = `name = "saskatoon"
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

func TestBadFilesNameTheKeyAndLine(t *testing.T) {
	for change, want := range map[[2]string]string{
		{"saskatoon", ""}: "fleet.toml:1: name: ",
		{`127.0.0.1:5002"` + "\nseeds", "nowhere\"\nseeds"}: "fleet.toml:3: mesh.listen: ",
		{"127.0.0.1:5002\"\nseeds", "localhost:1\"\nseeds"}: `fleet.toml:3: mesh.listen: "localhost" is no IPv4 address`,
		{"n2=", "n1="}:                               `fleet.toml:4: mesh.seeds: "n1=127.0.0.2:5002" is not NAME=ADDRESS with a name of its own`,
		{`"127.0.0.3:40000"`, `"x"`}:                 "mesh.dial: n2 = \"x\"",
		{"[mesh]\n", "[mesh]\nprobe = \"1ms\"\n"}:    "fleet.toml:3: mesh.probe: must be from",
		{"[mesh]\n", "[orders]\nmost = 1\n[mesh]\n"}: "orders.most: unknown key",
		{"[mesh]\n", "[mesh]\nprobes = 1\n"}:         "fleet.toml:3: mesh.probes: unknown key",
	} {
		_, err := load(t, strings.Replace(good, change[0], change[1], 1))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", change[1], err, want)
		}
	}
	c, err := load(t, good)
	if err != nil || c.Mesh == nil || c.Mesh.ProbeInterval != 400*time.Millisecond || c.Mesh.DialAddresses["n2"] == "" {
		t.Errorf("%+v, %v", c, err)
	}
	if _, err := load(t, "name = \"x\"\n[orders]\n"); err == nil || !strings.Contains(err.Error(), "fleet.toml:2: orders: needs [mesh]") {
		t.Errorf("overrides without a mesh: %v", err)
	}
	if c, err := load(t, `name = "x"`); err != nil || c.Mesh != nil {
		t.Errorf("without [mesh]: %+v, %v", c, err)
	}
}
