package shim

import (
	"bufio"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"time"
)

// Load reports for how long the tracer waited for a processor within an interval. While the tracer waits, each thread
// of the program that makes a system call is stopped.
type Load struct {
	From   time.Time     `json:"from"`
	Until  time.Time     `json:"until"`
	Waited time.Duration `json:"waited"`
}

// ReadLoads reads the loads that the tracers of a program have written to a file, in the order of writing. If the file
// does not exist, it returns none.
func ReadLoads(path string) (loads []Load, err error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var load Load
		if json.Unmarshal(lines.Bytes(), &load) == nil { // a killed tracer may leave a partial last line
			loads = append(loads, load)
		}
	}
	return loads, nil
}
