package membership

import (
	"encoding/json"

	"github.com/hashicorp/memberlist"
)

// maxPacketMessage limits the size of messages that are sent as a packet; longer ones are sent over a stream. 100 bytes
// are reserved for memberlist's own header.
const maxPacketMessage = maxPacketSize - frameHeaderSize - 100

// newMessage returns a message from this process that, unlike quorum.newQuorumMessage, carries no state of the quorum.
func (m *Mesh) newMessage(kind messageKind) message {
	return message{From: m.cfg.Name, Process: m.process, Kind: kind}
}

// handleMessage dispatches a message from another member by its kind.
func (m *Mesh) handleMessage(msg message) {
	switch msg.Kind {
	case kindProbe:
		m.handleProbe(msg)
	case kindProbeReply:
		m.handleProbeReply(msg)
	case kindIndirectAck:
		m.handleIndirectAck(msg)
	case kindUserMessage:
		m.handleUserMessage(msg)
	case kindLeaving:
		m.handleLeaving(msg)
	case kindLeavingAck:
		m.handleLeavingAck(msg)
	default:
		m.handleQuorumMessage(msg)
	}
}

// handleUserMessage passes the body of a message that a member has sent with Send to OnMessage.
func (m *Mesh) handleUserMessage(msg message) {
	if m.cfg.OnMessage != nil {
		m.cfg.OnMessage(msg.From, msg.Body)
	}
}

// handleQuorumMessage passes a message to the quorum and sends the quorum's reply. A message that isAnswer accepts also
// counts as an answer to a probe.
func (m *Mesh) handleQuorumMessage(msg message) {
	digest := m.view.Load().Digest
	m.disagreements.compare(msg, digest, m.quorum.liveness.isLive(msg.From), m.now())
	if m.detector == nil {
		return
	}
	if m.isAnswer(msg) {
		if p := m.processes.find(msg.From, msg.Process); p != nil {
			m.recordAnswer(p)
		}
	}
	if reply, ok := m.quorum.handle(m.now(), msg, digest); ok {
		m.send(msg.From, reply)
	}
}

// isAnswer reports whether a message shows that its sender has recently received a message from this process: it is a
// vote for this process, or a heartbeat that echoes a recent vote of this process.
func (m *Mesh) isAnswer(msg message) bool {
	if msg.TargetProcess != m.process {
		return false
	}
	echoes := msg.Kind == kindHeartbeat && m.now()-msg.VoteAt < answerValidity
	return msg.Kind == kindVote || echoes
}

// Send sends a message to a member. The body must be JSON. Delivery is not guaranteed.
func (m *Mesh) Send(to string, body []byte) {
	m.do(func() {
		msg := m.newMessage(kindUserMessage)
		msg.Body = body
		m.send(to, msg)
	})
}

// sendTo sends a message to one process as a single packet, which the message must fit into.
func (m *Mesh) sendTo(p *process, msg message) {
	if p == nil || m.detector == nil {
		return
	}
	_ = m.detector.SendBestEffort(&p.node, msg.encode()) // an error has the same effect as a lost packet
}

// send sends a message to all live processes of a member, over a stream if it does not fit into a packet. It does
// nothing without a failure detector.
func (m *Mesh) send(to string, msg message) {
	if m.detector == nil {
		return
	}
	text := msg.encode()
	for _, p := range m.processes.byName[to] {
		if !p.isLive() {
			continue
		}
		node := p.node
		if len(text) < maxPacketMessage {
			_ = m.detector.SendBestEffort(&node, text) // the next heartbeat replaces a lost quorum message
			continue
		}
		m.sendByStream(&node, text)
	}
}

// sendByStream sends a message in the background. If another stream is being opened, it drops the message: the next
// heartbeat replaces a lost quorum message.
func (m *Mesh) sendByStream(node *memberlist.Node, text []byte) {
	if !m.joiner.acquire() {
		return
	}
	detector := m.detector
	go func() { // ends within the stream timeouts
		defer m.joiner.release()
		_ = detector.SendReliable(node, text) // the next heartbeat replaces a lost quorum message
	}()
}

// encode returns the message as JSON.
func (msg *message) encode() []byte {
	text, err := json.Marshal(msg)
	if err != nil {
		panic(err) // only for a body that is not JSON; all other fields are plain values
	}
	return text
}
