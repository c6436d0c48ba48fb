// Package testbedtest builds the node program for tests that start real processes.
package testbedtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Main builds the node program, sets *binary to its path, runs the tests and returns their exit code. It must be called
// by TestMain.
func Main(m *testing.M, binary *string) int {
	dir, err := os.MkdirTemp("", "balancer-build-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }() // files that cannot be removed stay in the temporary folder
	*binary = filepath.Join(dir, "balancer")
	if out, err := exec.Command("go", "build", "-o", *binary, "keelusher/cmd/balancer").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the node program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
