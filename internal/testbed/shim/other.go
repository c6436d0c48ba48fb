//go:build !linux || !amd64

package shim

import "errors"

// Run returns an error: system calls can be traced on Linux on amd64 only.
func Run(Spec, string, []string) (int, error) {
	return 0, errors.New("the shim runs on linux/amd64 only")
}
