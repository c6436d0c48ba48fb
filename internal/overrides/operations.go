package overrides

import "time"

// Put issues an override. An override that is in force under the same id is renewed or replaced, but only if replaces
// is its version. While an override is in force, a repeated Put of the same id and content changes nothing and returns
// the existing entry. With ErrIDInUse, Put returns the entry that is in force.
func (r *Register) Put(
	now time.Duration, id string, o Override, duration time.Duration, replaces *Version,
) (Entry, []OutboundMessage, error) {
	if err := validate(id, o, duration, MaxDuration); err != nil {
		return Entry{}, nil, err
	}
	if err := r.requireLeadership(); err != nil {
		return Entry{}, nil, err
	}
	old := r.state.entries[id]
	oldInForce := old != nil && old.inForce(now)
	switch {
	case oldInForce && replaces == nil && old.Override == o:
		return old.export(now), nil, nil
	case oldInForce && (replaces == nil || *replaces != old.Version):
		return old.export(now), nil, ErrIDInUse
	case old == nil && len(r.state.entries) >= MaxEntries:
		return Entry{}, nil, ErrRegisterFull
	}
	version := r.state.nextVersion()
	entry := newIssuedEntry(now, id, version, o, duration)
	r.state.entries[id] = entry
	return entry.export(now), r.changeNotices(now), nil
}

// Revoke removes an override that is in force. A member that has the returned version no longer applies it.
func (r *Register) Revoke(now time.Duration, id string) (Version, []OutboundMessage, error) {
	if err := r.requireLeadership(); err != nil {
		return Version{}, nil, err
	}
	if old := r.state.entries[id]; old == nil || !old.inForce(now) {
		return Version{}, nil, ErrNotFound
	}
	delete(r.state.entries, id)
	version := r.state.nextVersion()
	return version, r.changeNotices(now), nil
}

// requireLeadership returns nil if this process leads, else the error with which it rejects a change.
func (r *Register) requireLeadership() error {
	switch r.role {
	case roleFollower:
		return ErrNoQuorum
	case rolePreparing:
		return ErrLeaderNotReady
	default:
		return nil
	}
}

// PutLocal issues an override that applies to this process only, with or without a quorum. It is never sent to other
// members.
func (r *Register) PutLocal(now time.Duration, id string, o Override, duration time.Duration) error {
	if err := validate(id, o, duration, MaxLocalDuration); err != nil {
		return err
	}
	if len(r.local) >= MaxEntries {
		return ErrRegisterFull
	}
	r.local[id] = newIssuedEntry(now, id, Version{}, o, duration)
	return nil
}

// InForce returns the overrides in force, sorted by id, followed by those local to this process, also sorted.
func (r *Register) InForce(now time.Duration) []Entry {
	return append(r.state.entries.inForce(now), r.local.inForce(now)...)
}

// UnacknowledgedMembers returns the other members that have not acknowledged a version to this process, the leader.
// They may still apply an older state.
func (r *Register) UnacknowledgedMembers(version Version) []string {
	return r.acknowledged.missing(r.members, r.self, version)
}

// Version returns the version of the state that this process has.
func (r *Register) Version() Version { return r.state.version }

// StateAge returns the time since this process requested the state that it has. It is 0 if the membership names this
// process as the leader, and -1 if this process has never had a state.
func (r *Register) StateAge(now time.Duration) time.Duration {
	switch {
	case r.role != roleFollower:
		return 0
	case !r.state.known():
		return -1
	}
	return now - r.state.requestedAt
}
