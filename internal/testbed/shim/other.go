//go:build !linux || !amd64

package shim

import "errors"

// Run is for Linux on amd64 alone.
func Run(Spec, string, []string) (int, error) {
	return 0, errors.New("system calls can be failed on linux/amd64 only")
}
