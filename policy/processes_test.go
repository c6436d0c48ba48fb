package policy

import (
	"crypto/sha256"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
)

// Map order and hash seeds differ between processes, and the actions must not depend on them. The test runs itself in
// two more processes and compares the actions for the same events.
func TestSameActionsInSeveralProcesses(t *testing.T) {
	log, _ := runRandomEvents(t, ruleSettings(), 8, 2000, nil)
	own := fmt.Sprintf("actions %x", sha256.Sum256([]byte(strings.Join(log, "\n"))))
	if os.Getenv("POLICY_CHILD") != "" {
		fmt.Println(own)
		return
	}
	for range 2 {
		cmd := exec.Command(os.Args[0], "-test.run=^TestSameActionsInSeveralProcesses$")
		cmd.Env = append(os.Environ(), "POLICY_CHILD=1")
		out, err := cmd.Output()
		if err != nil {
			t.Fatal(err)
		}
		if got := regexp.MustCompile(`actions [0-9a-f]+`).FindString(string(out)); got != own {
			t.Errorf("another process printed %q, want %q", got, own)
		}
	}
}
