package membership

import (
	"encoding/json"
	"time"
)

// message is a message between members, other than the failure detector's own packets. Processes of older builds read
// it, so its tags must not change.
type message struct {
	From          string   `json:"f"`            // member name of the sender
	Process       uint64   `json:"p"`            // number of the sending process, drawn at its start
	Epoch         Epoch    `json:"e"`            // of the sender's member list
	MemberList    []string `json:"r,omitempty"`  // the sender's, for a receiver that may not have it
	Previous      []string `json:"b,omitempty"`  // the list before an uncommitted change
	BaseEpoch     Epoch    `json:"b0,omitzero"`  // base of the deltas, which replace the two lists
	ListDelta     *delta   `json:"bn,omitempty"` // changes from the list of BaseEpoch to MemberList
	PreviousDelta *delta   `json:"bl,omitempty"` // changes from the list of BaseEpoch to Previous
	Missing       []string `json:"m,omitempty"`  // first few members that are not live in the sender's view
	Digest        uint64   `json:"d,omitempty"`  // of the sender's view

	Kind          messageKind     `json:"k,omitempty"`
	TargetProcess uint64          `json:"t,omitempty"` // the process that is answered, or whose vote is echoed
	HeartbeatAt   time.Duration   `json:"q,omitempty"` // the leader's clock at the heartbeat
	VoteAt        time.Duration   `json:"v,omitempty"` // the voter's clock at its vote, or at the echoed vote
	Remaining     time.Duration   `json:"l,omitempty"` // in a heartbeat: time from that vote to the end of the majority
	HasMajority   bool            `json:"h,omitempty"` // in a heartbeat: the leader has one and its list is committed
	Complete      bool            `json:"w,omitempty"` // in a heartbeat: no member of the list is missing
	Body          json.RawMessage `json:"y,omitempty"` // of a user message
	Subject       string          `json:"a,omitempty"` // of a probe: the probed process's ID
}

// messageKind is the kind of a message. The numbers are part of the protocol.
type messageKind int

const (
	kindMemberList   messageKind = 0  // carries the member list, or requests a newer one
	kindHeartbeat    messageKind = 1  // from a leader or a candidate
	kindVote         messageKind = 2  // answers a heartbeat
	kindStepDown     messageKind = 3  // the sender has stepped down: claims to its majority must be dropped
	kindStepDownAck  messageKind = 4  // the sender has dropped its claim
	kindVoteReleased messageKind = 5  // no claim to the sender's majority is left: its voters are released
	kindProbe        messageKind = 6  // asks the subject to answer, or another process whether the subject has answered it
	kindProbeReply   messageKind = 7  // answers a probe
	kindIndirectAck  messageKind = 8  // the subject of an indirect probe has answered the sender
	kindUserMessage  messageKind = 9  // carries a body that was passed to Mesh.Send
	kindLeaving      messageKind = 10 // the sender is leaving; its end must not be taken for a failure
	kindLeavingAck   messageKind = 11 // the sender knows that the target process is leaving
)

// newQuorumMessage returns a message with the quorum's epoch and missing members, and the digest of the view.
func (q *quorum) newQuorumMessage(kind messageKind, digest uint64) message {
	return message{
		From:    q.self,
		Process: q.process,
		Epoch:   q.list.epoch,
		Missing: q.liveness.missing,
		Digest:  digest,
		Kind:    kind,
	}
}
