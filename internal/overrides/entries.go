package overrides

import (
	"maps"
	"slices"
	"time"
)

// ClockSkewMargin is the fraction by which a process shortens the remaining time of an override that it received.
// Clocks run at different rates; with the margin, an override expires no later than at its issuer if the rates of the
// two clocks differ by at most 1%.
const ClockSkewMargin = 0.01

// storedEntry is an entry with its expiry on the clock of this process.
type storedEntry struct {
	Entry
	expiresAt   time.Duration // without the margin for clock skew
	requestedAt time.Duration // when this process requested the state that contained the entry, or issued the entry
	issuedHere  bool          // issued by this process, so its expiry needs no margin
}

// newIssuedEntry returns an entry that this process issues.
func newIssuedEntry(now time.Duration, id string, version Version, o Override, duration time.Duration) *storedEntry {
	return &storedEntry{
		Entry: Entry{
			ID:       id,
			Version:  version,
			Override: o,
		},
		expiresAt:   now + duration,
		requestedAt: now,
		issuedHere:  true,
	}
}

// newReceivedEntry returns an entry of a state that this process requested. The remaining time counts from the request,
// which precedes the response, so the entry never expires later here than at its issuer.
func newReceivedEntry(requestedAt time.Duration, entry Entry) *storedEntry {
	remaining := min(max(0, entry.Remaining), MaxDuration)
	return &storedEntry{
		Entry:       entry,
		expiresAt:   requestedAt + remaining,
		requestedAt: requestedAt,
	}
}

// safeExpiry returns the expiry on the clock of this process, reduced by the margin for clock skew.
func (e *storedEntry) safeExpiry() time.Duration {
	if e.issuedHere {
		return e.expiresAt
	}
	return e.requestedAt + time.Duration(float64(e.expiresAt-e.requestedAt)/(1+ClockSkewMargin))
}

// remaining returns the time until the entry expires, at least 0.
func (e *storedEntry) remaining(now time.Duration) time.Duration { return max(0, e.safeExpiry()-now) }

// inForce reports whether the override applies at a time. Callers must check it at each decision, because expired
// entries are removed only by Tick.
func (e *storedEntry) inForce(now time.Duration) bool { return e.remaining(now) > 0 }

// export returns the entry as it is sent to other members.
func (e *storedEntry) export(now time.Duration) Entry {
	entry := e.Entry
	entry.Remaining = e.remaining(now)
	return entry
}

// entrySet holds entries by override id.
type entrySet map[string]*storedEntry

// removeExpired removes the entries that are no longer in force.
func (s entrySet) removeExpired(now time.Duration) {
	maps.DeleteFunc(s, func(_ string, e *storedEntry) bool { return !e.inForce(now) })
}

// export returns all entries, sorted by id.
func (s entrySet) export(now time.Duration) []Entry {
	var entries []Entry
	for _, id := range slices.Sorted(maps.Keys(s)) {
		entries = append(entries, s[id].export(now))
	}
	return entries
}

// inForce returns the entries that are in force, sorted by id.
func (s entrySet) inForce(now time.Duration) []Entry {
	return slices.DeleteFunc(s.export(now), func(e Entry) bool { return e.Remaining == 0 })
}

// replicatedState is the newest state of the fleet's register that this process knows.
type replicatedState struct {
	entries     entrySet
	version     Version
	requestedAt time.Duration // when this process requested the state that it adopted
}

// known reports whether the process has ever adopted the state of a leader or led itself.
func (s *replicatedState) known() bool { return s.version.Term > 0 }

// nextVersion advances the version for a change, and returns it.
func (s *replicatedState) nextVersion() Version {
	s.version.Sequence++
	return s.version
}

// adopt replaces the state with that of a message. An entry that the message lacks was never acknowledged by a
// majority, was revoked or has expired.
func (s *replicatedState) adopt(m Message) {
	s.version = m.Version
	s.requestedAt = m.RequestedAt
	s.entries = entrySet{}
	for _, entry := range m.Entries {
		if len(entry.ID) <= maxIDBytes {
			s.entries[entry.ID] = newReceivedEntry(m.RequestedAt, entry)
		}
	}
}
