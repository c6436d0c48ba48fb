package tomlfile

import (
	"strings"
	"testing"
)

func TestEveryProblemNamesFileLineAndKey(t *testing.T) {
	type inner struct {
		Cores int `toml:"cores"`
	}
	var into struct {
		Name  string  `toml:"name"`
		World inner   `toml:"world"`
		Tier  []inner `toml:"tier"`
	}
	for text, want := range map[string][]string{
		"name = 3":                   {"f.toml:1", "name"},
		"name = \"x\"\nname = \"y\"": {"f.toml:2", "name"},
		"nme = \"x\"\n[world]\ncore = 1\ncores = 2":   {"f.toml:1: nme: unknown key", "f.toml:3: world.core: unknown key"},
		"[[tier]]\ncores = 1\n[[tier]]\n\n corse = 2": {"f.toml:5: tier.corse: unknown key"},
		"a = [":       {"f.toml:1"},
		"[wolrd]\n\n": {"f.toml:1: wolrd: unknown key"},
	} {
		err := Decode("f.toml", []byte(text), &into)
		if err == nil {
			t.Errorf("%q: no error", text)
			continue
		}
		for _, w := range want {
			if !strings.Contains(err.Error(), w) {
				t.Errorf("%q: %q, want %q in it", text, err, w)
			}
		}
	}
	if err := Decode("f.toml", []byte("name = \"x\"\n[[tier]]\ncores = 1\n"), &into); err != nil {
		t.Error(err)
	}
}

func TestAtFindsTheLine(t *testing.T) {
	text := []byte("name = 1\n\n[world]\nzones = 2\n  [[world.tier]]\n  cores = 1\n  [[world.tier]]\n  cores = 2\n[[fault]]\nkind = 1\n[[fault]]\n")
	for key, want := range map[string]int{
		"name": 1, "world.zones": 4, "world.tier[0].cores": 6, "world.tier[1].cores": 8, "world.tier[1].slots": 7,
		"fault[0].kind": 10, "fault[1].kind": 11, "world.missing": 3, "missing": 0,
	} {
		if got := ProblemAt("f", text, key, "").Line; got != want {
			t.Errorf("%s is at line %d, want %d", key, got, want)
		}
	}
}
