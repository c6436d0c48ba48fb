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

// loadInterval is how long an interval of Load is, at least.
const loadInterval = time.Second

// schedulerStatistics is where Linux tells how long the reading thread has run and has waited for a processor, in
// nanoseconds.
const schedulerStatistics = "/proc/thread-self/schedstat"

// Load is for how long the tracer waited for a processor in an interval. The program stands still at its calls
// meanwhile.
type Load struct {
	From   time.Time     `json:"from"`
	Until  time.Time     `json:"until"`
	Waited time.Duration `json:"waited"`
}

// ReadLoads reads what the tracers of a program have written to a file, in order; without a file there were none.
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
		if json.Unmarshal(lines.Bytes(), &load) == nil { // the last line of a tracer that was killed may be half a line
			loads = append(loads, load)
		}
	}
	return loads, nil
}

// loadMeter writes the loads of the thread that uses it.
type loadMeter struct {
	to     *json.Encoder
	since  time.Time
	waited time.Duration // until then
}

// record writes a line once an interval is over.
func (m *loadMeter) record(now time.Time) {
	if now.Sub(m.since) < loadInterval {
		return
	}
	waited := waitedForProcessor()
	_ = m.to.Encode(Load{From: m.since, Until: now, Waited: waited - m.waited}) // for want of space: no line
	m.since = now
	m.waited = waited
}

// waitedForProcessor is for how long the calling thread has waited for a processor since its start; 0 where the system
// does not tell.
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
