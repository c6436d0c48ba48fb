package membership

import (
	"encoding/json"

	"github.com/hashicorp/memberlist"
)

// maxPacketMessage is the longest message that goes by packet, with memberlist's own head.
const maxPacketMessage = maxPacketSize - frameHeaderSize - 100

// newMessage is a message without the quorum's state.
func (m *Mesh) newMessage(kind messageKind) message {
	return message{From: m.cfg.Name, Process: m.process, Kind: kind}
}

// handleMessage takes a message of another member.
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

func (m *Mesh) handleUserMessage(msg message) {
	if m.cfg.OnMessage != nil {
		m.cfg.OnMessage(msg.From, msg.Body)
	}
}

// handleQuorumMessage hands a message to the quorum. One that echoes what this process has sent is an answer, too.
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

// isAnswer reports whether a message shows that its sender has received one of this process lately.
func (m *Mesh) isAnswer(msg message) bool {
	if msg.TargetProcess != m.process {
		return false
	}
	echoes := msg.Kind == kindHeartbeat && m.now()-msg.VoteAt < answerValidity
	return msg.Kind == kindVote || echoes
}

// Send sends a body, in JSON, to a member; it may be lost.
func (m *Mesh) Send(to string, body []byte) {
	m.do(func() {
		msg := m.newMessage(kindUserMessage)
		msg.Body = body
		m.send(to, msg)
	})
}

// sendTo sends a short message to one process, once.
func (m *Mesh) sendTo(p *process, msg message) {
	if p == nil || m.detector == nil {
		return
	}
	_ = m.detector.SendBestEffort(&p.node, msg.encode()) // a lost one is as good as a lost answer
}

// send brings a message to the live processes of a name; one that fits into no packet goes by a stream. Without a
// failure detector it goes nowhere.
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
			_ = m.detector.SendBestEffort(&node, text) // lost ones are sent again by the next heartbeat
			continue
		}
		m.sendByStream(&node, text)
	}
}

// sendByStream sends in the background, unless another stream is being opened: the next heartbeat sends again.
func (m *Mesh) sendByStream(node *memberlist.Node, text []byte) {
	if !m.joiner.acquire() {
		return
	}
	detector := m.detector
	go func() { // ends within the streams' times
		defer m.joiner.release()
		_ = detector.SendReliable(node, text) // as above
	}()
}

// encode is the message's JSON.
func (msg *message) encode() []byte {
	text, err := json.Marshal(msg)
	if err != nil {
		panic(err) // plain values
	}
	return text
}
