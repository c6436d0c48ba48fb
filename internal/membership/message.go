package membership

import (
	"encoding/json"
	"time"
)

// message is what the members send to each other beside the failure detector's own packets. Processes of older builds
// read it, so its tags stay.
type message struct {
	From          string   `json:"f"`
	Process       uint64   `json:"p"`
	Epoch         Epoch    `json:"e"`
	MemberList    []string `json:"r,omitempty"` // of the epoch, for a process that may lack it
	Previous      []string `json:"b,omitempty"`
	BaseEpoch     Epoch    `json:"b0,omitzero"`  // instead of the list: an epoch that the receiver has had,
	ListDelta     *delta   `json:"bn,omitempty"` // what makes the list of that one's,
	PreviousDelta *delta   `json:"bl,omitempty"` // and what makes the one before, until the change is committed
	Missing       []string `json:"m,omitempty"`  // of the member list, as the sender sees it; the first few
	Digest        uint64   `json:"d,omitempty"`  // of the sender's view

	Kind          messageKind     `json:"k,omitempty"`
	TargetProcess uint64          `json:"t,omitempty"` // the one that is answered, or whose vote is echoed
	HeartbeatAt   time.Duration   `json:"q,omitempty"` // the leader's clock at the heartbeat
	VoteAt        time.Duration   `json:"v,omitempty"` // the voter's clock at the vote; in a heartbeat, at its last one
	Remaining     time.Duration   `json:"l,omitempty"` // in a heartbeat: of the majority, from that vote's arrival
	HasMajority   bool            `json:"h,omitempty"` // in a heartbeat: the leader has it, and its list is committed
	Complete      bool            `json:"w,omitempty"` // in a heartbeat: all of the member list are live
	Body          json.RawMessage `json:"y,omitempty"` // of a user message
	Subject       string          `json:"a,omitempty"` // of a probe: the process, by its name within memberlist
}

// messageKind is the kind of a message. The numbers are part of the protocol.
type messageKind int

const (
	kindMemberList   messageKind = 0 // for a process that lacks the list, or a request for a newer one
	kindHeartbeat    messageKind = 1 // of a process that leads, or wants to
	kindVote         messageKind = 2 // answers a heartbeat
	kindStepDown     messageKind = 3 // the sender leads no more: its majority is not to be claimed
	kindStepDownAck  messageKind = 4
	kindVoteReleased messageKind = 5 // nobody claims the sender's majority: its votes are free
	kindProbe        messageKind = 6 // asks whether a process is there, or answers the receiver
	kindProbeReply   messageKind = 7
	kindIndirectAck  messageKind = 8  // the subject of a probe has answered the sender
	kindUserMessage  messageKind = 9  // a body of another part of the program
	kindLeaving      messageKind = 10 // the sender leaves: its end is no failure
	kindLeavingAck   messageKind = 11 // the sender knows that the target process leaves
)

func (q *quorum) newMessage(kind messageKind, digest uint64) message {
	return message{
		From:    q.self,
		Process: q.process,
		Epoch:   q.list.epoch,
		Missing: q.liveness.missing,
		Digest:  digest,
		Kind:    kind,
	}
}
