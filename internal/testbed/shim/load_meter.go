//go:build linux && amd64

package shim

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"
)

// loadInterval is the minimum length of the interval that a Load covers.
const loadInterval = time.Second

// schedulerStatistics is the file in which Linux reports for how long the reading thread has run and has waited for a
// processor, both in nanoseconds.
const schedulerStatistics = "/proc/thread-self/schedstat"

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
