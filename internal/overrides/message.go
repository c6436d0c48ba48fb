package overrides

import "time"

// MessageKind says what a Message requests or carries. The numbers are part of the wire format.
type MessageKind int

// Kinds of messages.
const (
	KindStateRequest  MessageKind = 0 // a member requests the leader's state, and acknowledges its own version
	KindStateResponse MessageKind = 1 // the leader's complete state
	KindChangeNotice  MessageKind = 2 // the leader's state has changed
	KindPrepare       MessageKind = 3 // a new leader requests a member's state, and a promise of its term
	KindPromise       MessageKind = 4 // the member's promise and complete state
)

// Message is a message between the registers of two members. A response repeats Requester and RequestedAt of its
// request.
type Message struct {
	Kind        MessageKind   `json:"k"`
	From        string        `json:"f"`
	Requester   uint64        `json:"p"`           // incarnation of the requesting process
	RequestedAt time.Duration `json:"s"`           // on the clock of that process
	Version     Version       `json:"m"`           // version of the sender's state
	Term        uint64        `json:"t"`           // promised by the sender; in KindPrepare: requested by it
	PromisedTo  uint64        `json:"w,omitempty"` // incarnation of the leader to which Term is promised
	Entries     []Entry       `json:"x,omitempty"`
}

// OutboundMessage is a message and the member to which it is sent.
type OutboundMessage struct {
	To string
	Message
}

// message returns a message from this process, without entries.
func (r *Register) message(to string, kind MessageKind, requestedAt time.Duration) OutboundMessage {
	return OutboundMessage{
		To: to,
		Message: Message{
			Kind:        kind,
			From:        r.self,
			Requester:   r.incarnation,
			RequestedAt: requestedAt,
			Version:     r.state.version,
			Term:        r.promised.term,
			PromisedTo:  r.promised.incarnation,
		},
	}
}

// response returns the response to a request, with the complete state.
func (r *Register) response(now time.Duration, kind MessageKind, request Message) []OutboundMessage {
	out := r.message(request.From, kind, request.RequestedAt)
	out.Requester = request.Requester
	out.Entries = r.state.entries.export(now)
	return []OutboundMessage{out}
}

// changeNotices returns notices of a change to all other members.
func (r *Register) changeNotices(now time.Duration) []OutboundMessage {
	var out []OutboundMessage
	for _, member := range r.members {
		if member != r.self {
			out = append(out, r.message(member, KindChangeNotice, now))
		}
	}
	return out
}

// prepareRequests returns requests to all members that have not promised the term.
func (r *Register) prepareRequests(now time.Duration) []OutboundMessage {
	var out []OutboundMessage
	for _, member := range r.members {
		if !r.promises.has(member) {
			out = append(out, r.message(member, KindPrepare, now))
		}
	}
	return out
}
