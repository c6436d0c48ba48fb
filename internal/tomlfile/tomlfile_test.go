package tomlfile

import (
	"strings"
	"testing"
)

type table struct {
	Cores int `toml:"cores"`
}

type document struct {
	Name  string  `toml:"name"`
	World table   `toml:"world"`
	Tier  []table `toml:"tier"`
}

// Errors have to name the file, the line and the key, for wrong types, duplicate and unknown keys and syntax errors.
func TestEveryProblemNamesFileLineAndKey(t *testing.T) {
	var into document
	for text, wants := range map[string][]string{
		"name = 3":                   {"f.toml:1", "name"},
		"name = \"x\"\nname = \"y\"": {"f.toml:2", "name"},
		"nme = \"x\"\n[world]\ncore = 1\ncores = 2":   {"f.toml:1: nme: unknown key", "f.toml:3: world.core: unknown key"},
		"[[tier]]\ncores = 1\n[[tier]]\n\n corse = 2": {"f.toml:5: tier.corse: unknown key"},
		"a = [":       {"f.toml:1"},
		"[wolrd]\n\n": {"f.toml:1: wolrd: unknown key"},
	} {
		err := Decode("f.toml", []byte(text), &into)
		if err == nil {
			t.Errorf("%q: got no error, want one", text)
			continue
		}
		for _, want := range wants {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%q: got the error %q, want %q in it", text, err, want)
			}
		}
	}
}

func TestDecodeValid(t *testing.T) {
	var into document
	if err := Decode("f.toml", []byte("name = \"x\"\n[[tier]]\ncores = 1\n"), &into); err != nil {
		t.Error(err)
	}
	if into.Name != "x" || len(into.Tier) != 1 || into.Tier[0].Cores != 1 {
		t.Errorf("decoded %+v, want the name x and one tier with 1 core", into)
	}
}

func TestProblemAtFindsTheLine(t *testing.T) {
	text := []byte("name = 1\n\n[world]\nzones = 2\n  [[world.tier]]\n  cores = 1\n  [[world.tier]]\n  cores = 2\n" +
		"[[fault]]\nkind = 1\n[[fault]]\n")
	for key, want := range map[string]int{
		"name":                1,
		"world.zones":         4,
		"world.tier[0].cores": 6,
		"world.tier[1].cores": 8,
		"world.tier[1].slots": 7,
		"fault[0].kind":       10,
		"fault[1].kind":       11,
		"world.missing":       3,
		"missing":             0,
	} {
		if got := ProblemAt("f", text, key, "").Line; got != want {
			t.Errorf("%s: found at line %d, want %d", key, got, want)
		}
	}
}
