package shim

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"
)

// loadInterval is the minimum length of the interval that a Load covers.
const loadInterval = time.Second

// schedulerStatistics is the file in which Linux reports for how long the reading thread has run and has waited for a
// processor, both in nanoseconds.
const schedulerStatistics = "/proc/thread-self/schedstat"

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

// loadMeter writes the loads of the thread that calls it.
type loadMeter struct {
	to     *json.Encoder
	since  time.Time
	waited time.Duration // total wait of the thread at since
}

// record writes a line if an interval has passed since the last one.
func (m *loadMeter) record(now time.Time) {
	if now.Sub(m.since) < loadInterval {
		return
	}
	waited := waitedForProcessor()
	_ = m.to.Encode(Load{From: m.since, Until: now, Waited: waited - m.waited}) // lost if the disk is full
	m.since = now
	m.waited = waited
}

// waitedForProcessor returns for how long the calling thread has waited for a processor since its start, or 0 if the
// system does not report it.
func waitedForProcessor() time.Duration {
	text, err := os.ReadFile(schedulerStatistics)
	if err != nil {
		return 0
	}
	var ran, waited int64
	if _, err := fmt.Fscan(strings.NewReader(string(text)), &ran, &waited); err != nil {
		return 0
	}
	return time.Duration(waited)
}
