package overrides

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// Environment variables that choose the seeds of TestModelOfTheRegister. For example, to run 20000 seeds:
// OVERRIDES_SEEDS=20000 go test -run Model ./internal/overrides
const (
	seedCountVariable = "OVERRIDES_SEEDS"
	firstSeedVariable = "OVERRIDES_FIRST_SEED"
	defaultSeedCount  = 300
)

// seedRange returns the seeds to run, as the environment sets them.
func seedRange(t *testing.T) (first, count uint64) {
	t.Helper()
	return uintVariable(t, firstSeedVariable, 0), uintVariable(t, seedCountVariable, defaultSeedCount)
}

// uintVariable returns the value of an environment variable, or fallback if it is not set.
func uintVariable(t *testing.T, name string, fallback uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

// Under random faults, no override may be applied past its expiry or return after a newer acknowledged version, and the
// registers must agree after the last fault.
func TestModelOfTheRegister(t *testing.T) {
	first, count := seedRange(t)
	issued, checks, slowest := 0, 0, time.Duration(0)
	for seed := first; seed < first+count; seed++ {
		m := newFleetModel(seed)
		violation, agreedAfter := m.run()
		if violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
		issued += m.issued
		checks += m.checks
		slowest = max(slowest, agreedAfter)
	}
	t.Logf("%d seeds: %d overrides issued, %d expiry checks, all states equal at most %v after the last fault",
		count, issued, checks, slowest)
	if issued < 3*int(count) || checks < 100*int(count) {
		t.Error("too few overrides were issued or checked for the run to be conclusive")
	}
}
