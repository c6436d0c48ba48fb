package membership

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

// Limits on the records that are kept of processes that have ended.
const (
	maxEndedProcesses = 2048
	endedRetention    = 10 * time.Minute
)

// Phases of a process, as they are encoded in its metadata.
const (
	phaseJoining = "j"
	phaseAlive   = "a"
	phaseLeaving = "l"
)

// metadata is what a process publishes about itself. Processes of older builds read it, so the tags must not change.
type metadata struct {
	Incarnation uint64 `json:"i"`
	Phase       string `json:"p"`
	Zone        string `json:"z"`
	Region      string `json:"r"`
	Tier        int    `json:"t"`
	Version     string `json:"v"`
	Digest      string `json:"d"`
}

// idSeparator separates the member's name from the process's number in a process ID. Memberlist uses these IDs as its
// node names, so that it treats two processes of one name as two nodes.
const idSeparator = "~"

func processID(name string, number uint64) string {
	return fmt.Sprintf("%s%s%016x", name, idSeparator, number)
}

// memberNameOf returns the member's name in a process ID.
func memberNameOf(id string) string {
	name, _, _ := strings.Cut(id, idSeparator)
	return name
}

// process is one process of a member, in the state that the failure detector and this process's own probes give it.
//
//	from             to       when
//	(new)            Dead     until its first event is applied
//	Dead, Left       Alive    the failure detector reports it live
//	Dead             Alive    it answers after it was confirmed dead without a report
//	Alive            Suspect  it did not answer a probe, or the failure detector reports it dead
//	Suspect          Alive    it answers the failure detector, or the failure detector reports it live
//	Alive, Suspect   Dead     it is confirmed dead, and is not known to be leaving
//	Alive, Suspect   Left     its end is reported by the failure detector or confirmed, and it is known to be leaving
//	Dead             Left     another process reports that it left
type process struct {
	id       string
	name     string
	metadata metadata
	address  string
	node     memberlist.Node
	leaving  bool          // it has announced that it leaves, which is never revoked
	state    State         // Alive, Suspect, Dead or Left
	since    time.Duration // when it entered the state
}

// updateMetadata decodes the metadata that the process has published. Fields that can't be decoded keep their values.
func (p *process) updateMetadata(text []byte) {
	if len(text) > 0 {
		_ = json.Unmarshal(text, &p.metadata)
	}
	if p.leaving {
		p.metadata.Phase = phaseLeaving
	}
	p.leaving = p.metadata.Phase == phaseLeaving
}

// endState returns the state of the process once it has ended.
func (p *process) endState() State {
	if p.leaving {
		return Left
	}
	return Dead
}

// transition sets the state and reports whether it has changed.
func (p *process) transition(to State, now time.Duration) (changed bool) {
	if p.state == to {
		return false
	}
	p.state = to
	p.since = now
	return true
}

// isLive reports whether the process is not known to have ended.
func (p *process) isLive() bool { return p.state == Alive || p.state == Suspect }

// number returns the number in the process's ID, which its messages carry, or 0 if the ID has none.
func (p *process) number() uint64 {
	_, hex, _ := strings.Cut(p.id, idSeparator)
	n, _ := strconv.ParseUint(hex, 16, 64) // 0 if the ID has another form
	return n
}

// newerThan reports whether p counts as newer than another process of the same name.
func (p *process) newerThan(other *process) bool {
	return newer(p.metadata.Incarnation, p.id, other.metadata.Incarnation, other.id)
}

// newer reports whether the first of two processes of one name counts as newer: by incarnation, then by ID.
func newer(incarnation uint64, id string, otherIncarnation uint64, otherID string) bool {
	return incarnation > otherIncarnation || incarnation == otherIncarnation && id > otherID
}

// preferredTo reports whether p represents its member rather than another process of the same name. A live process is
// preferred to one that has ended. Of two live processes, the newer one is preferred, and of two that have ended, the
// one that ended last.
func (p *process) preferredTo(other *process) bool {
	if p.isLive() != other.isLive() {
		return p.isLive()
	}
	if p.isLive() {
		return p.newerThan(other)
	}
	return p.since > other.since
}

// processTable holds the known processes of the fleet, except this process.
type processTable struct {
	byID   map[string]*process
	byName map[string][]*process
}

func newProcessTable() *processTable {
	return &processTable{
		byID:   map[string]*process{},
		byName: map[string][]*process{},
	}
}

func (t *processTable) add(p *process) {
	t.byID[p.id] = p
	t.byName[p.name] = append(t.byName[p.name], p)
}

func (t *processTable) remove(p *process) {
	delete(t.byID, p.id)
	isRemoved := func(other *process) bool { return other == p }
	t.byName[p.name] = slices.DeleteFunc(t.byName[p.name], isRemoved)
	if len(t.byName[p.name]) == 0 {
		delete(t.byName, p.name)
	}
}

// find returns the process with a name and a number, or nil.
func (t *processTable) find(name string, number uint64) *process {
	for _, p := range t.byName[name] {
		if p.number() == number {
			return p
		}
	}
	return nil
}

// nameOfNumber returns the name of the process with a number, or "" if there is none.
func (t *processTable) nameOfNumber(number uint64) string {
	for _, p := range t.byID {
		if p.number() == number {
			return p.name
		}
	}
	return ""
}

// liveCount returns how many other processes are not known to have ended.
func (t *processTable) liveCount() int {
	count := 0
	for _, p := range t.byID {
		if p.isLive() {
			count++
		}
	}
	return count
}

// anyLive reports whether any process of a name is not known to have ended.
func (t *processTable) anyLive(name string) bool {
	return slices.ContainsFunc(t.byName[name], (*process).isLive)
}

// expired returns the processes to be removed: those that ended longer ago than endedRetention and, if more than
// maxEndedProcesses remain, those of them that ended first.
func (t *processTable) expired(now time.Duration) []*process {
	var expired, ended []*process
	for _, p := range t.byID {
		switch {
		case p.isLive():
		case now-p.since > endedRetention:
			expired = append(expired, p)
		default:
			ended = append(ended, p)
		}
	}
	if extra := len(ended) - maxEndedProcesses; extra > 0 {
		slices.SortFunc(ended, func(a, b *process) int { return int(a.since - b.since) })
		expired = append(expired, ended[:extra]...)
	}
	return expired
}
