package main

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each mistake in a fleet configuration has to be reported on a line of its own, with file, line and key.
func TestInvalidFleetConfiguration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	text := "name = \"x\"\n[mesh]\nlisten = \"nowhere\"\nprobe = \"1ms\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := newProcess(t, nodeConfig{}.json())
	p.Env = append(p.Env, "ROUTER_FLEET="+path)
	lines := checkErrorLines(t, p.runToFailure(t), 2)
	for i, want := range []string{":3: mesh.listen: ", ":4: mesh.probe: "} {
		if !strings.HasPrefix(lines[i], "balancer: "+path+want) {
			t.Errorf("got the error line %q, want the prefix \"balancer: \" and then %q", lines[i], path+want)
		}
	}
}

func TestInvalidConfiguration(t *testing.T) {
	for name, text := range map[string]string{
		"empty":       "",
		"no JSON":     "{",
		"no settings": `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1"}`,
		"no classes": `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",` +
			`"settings":{"limits":{"conn-idle-ms":1,"connect-timeout-ms":1}}}`,
		"bad seed":    nodeConfig{seed: "xyz30d27a5be964"}.json(),
		"bad listen":  nodeConfig{listen: "nowhere"}.json(),
		"bad control": nodeConfig{adminAddress: "nowhere"}.json(),
		"bad limits":  nodeConfig{sockets: -1}.json(),
	} {
		t.Run(name, func(t *testing.T) {
			checkErrorLines(t, newProcess(t, text).runToFailure(t), 1)
		})
	}
}

// If the admin address is in use, the program has to end with one line that says so, before it serves requests.
func TestAdminAddressInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	p := newProcess(t, nodeConfig{adminAddress: listener.Addr().String()}.json())
	lines := checkErrorLines(t, p.runToFailure(t), 1)
	if !strings.HasPrefix(lines[0], "balancer: control: ") {
		t.Errorf("got the error line %q, want the prefix \"balancer: control: \"", lines[0])
	}
}
