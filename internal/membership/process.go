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

// Bounds of what is remembered of processes that have ended.
const (
	maxEndedProcesses = 2048
	endedRetention    = 10 * time.Minute
)

// Phases of a process, as its metadata has them.
const (
	phaseJoining = "j"
	phaseAlive   = "a"
	phaseLeaving = "l"
)

// metadata is what a process publishes of itself. Processes of older builds read it, so its tags stay.
type metadata struct {
	Incarnation uint64 `json:"i"`
	Phase       string `json:"p"`
	Zone        string `json:"z"`
	Region      string `json:"r"`
	Tier        int    `json:"t"`
	Version     string `json:"v"`
	Digest      string `json:"d"`
}

// idSeparator stands between a member's name and the number of its process in the process's ID. Memberlist knows
// processes by their IDs: two processes of one name are two there.
const idSeparator = "~"

func processID(name string, number uint64) string {
	return fmt.Sprintf("%s%s%016x", name, idSeparator, number)
}

func nameOf(id string) string {
	name, _, _ := strings.Cut(id, idSeparator)
	return name
}

// process is one process of a member, as the failure detector and this process's own probes have it.
//
//	from             to       when
//	(new)            Dead     until its first event is applied
//	Dead, Left       Alive    the failure detector reports it live
//	Dead             Alive    it answers after it was confirmed dead without a report
//	Alive            Suspect  it did not answer a probe, or the failure detector reports it dead
//	Suspect          Alive    it answers the failure detector, or that reports it live
//	Alive, Suspect   Dead     it is confirmed dead, and is not known to leave
//	Alive, Suspect   Left     the failure detector reports its end, or it is confirmed, and it is known to leave
//	Dead             Left     another process knows that it left
type process struct {
	id       string
	name     string
	metadata metadata
	address  string
	node     memberlist.Node
	leaving  bool  // it has announced that it leaves, which is never taken back
	state    State // Alive, Suspect, Dead or Left
	since    time.Duration
}

// updateMetadata takes what the process publishes of itself. What can't be read keeps its last value.
func (p *process) updateMetadata(text []byte) {
	if len(text) > 0 {
		_ = json.Unmarshal(text, &p.metadata)
	}
	if p.leaving {
		p.metadata.Phase = phaseLeaving
	}
	p.leaving = p.metadata.Phase == phaseLeaving
}

// endState is what the process is once it has ended.
func (p *process) endState() State {
	if p.leaving {
		return Left
	}
	return Dead
}

// transition enters a state, and reports whether that is a change.
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

// number is the process's number, as its messages have it.
func (p *process) number() uint64 {
	_, hex, _ := strings.Cut(p.id, idSeparator)
	n, _ := strconv.ParseUint(hex, 16, 64) // an ID of another form has none
	return n
}

// newerThan reports whether p is to be taken for the newer process of a name.
func (p *process) newerThan(other *process) bool {
	return newer(p.metadata.Incarnation, p.id, other.metadata.Incarnation, other.id)
}

// newer orders the processes of a name by incarnation, then by ID.
func newer(incarnation uint64, id string, otherIncarnation uint64, otherID string) bool {
	return incarnation > otherIncarnation || incarnation == otherIncarnation && id > otherID
}

// preferredTo reports whether p stands for its member rather than another process of it: a live one, then the newer.
func (p *process) preferredTo(other *process) bool {
	if p.isLive() != other.isLive() {
		return p.isLive()
	}
	if p.isLive() {
		return p.newerThan(other)
	}
	return p.since > other.since
}

// processTable is all processes that this one knows of.
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

// find returns the process of a name that has a number, or nil.
func (t *processTable) find(name string, number uint64) *process {
	for _, p := range t.byName[name] {
		if p.number() == number {
			return p
		}
	}
	return nil
}

// nameOfNumber is the name of the process that has a number; "" if none has.
func (t *processTable) nameOfNumber(number uint64) string {
	for _, p := range t.byID {
		if p.number() == number {
			return p.name
		}
	}
	return ""
}

// liveCount is how many processes there seem to be beside this one.
func (t *processTable) liveCount() int {
	count := 0
	for _, p := range t.byID {
		if p.isLive() {
			count++
		}
	}
	return count
}

// anyLive reports whether some process of a name is still there.
func (t *processTable) anyLive(name string) bool {
	return slices.ContainsFunc(t.byName[name], (*process).isLive)
}

// expired are the processes to be forgotten: those that ended long ago, and the oldest of those beyond the bound.
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
