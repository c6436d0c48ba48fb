// What members say to each other beside the detector.

package membership

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
)

// hear takes a council's message.
func (m *Mesh) hear(msg message) {
	if m.attend(msg) {
		return
	}
	own := m.view.Load().Digest
	if msg.Digest == own {
		delete(m.differs, msg.From)
	} else if _, known := m.differs[msg.From]; !known && m.quorum.liveness.isLive(msg.From) {
		m.differs[msg.From] = m.now()
	}
	if m.ml == nil {
		return
	}
	if msg.TargetProcess == m.process && (msg.Kind == kindVote || msg.Kind == kindHeartbeat && m.now()-msg.VoteAt < fresh) { // it has heard us
		for _, p := range m.named[msg.From] {
			if p.number() == msg.Process {
				m.answered(p)
			}
		}
	}
	if answer, ok := m.quorum.handle(m.now(), msg, own); ok {
		m.send(msg.From, answer)
	}
}

// sendTo sends a short message to one process, once.
func (m *Mesh) sendTo(p *process, msg message) {
	if p == nil || m.ml == nil {
		return
	}
	text, err := json.Marshal(msg)
	if err != nil {
		panic(err) // plain values
	}
	m.ml.SendBestEffort(&p.node, text) // a lost one is as good as a lost answer
}

// send brings a message to the live process of a name; one that fits into no packet goes by a stream.
func (m *Mesh) send(to string, msg message) {
	text, err := json.Marshal(msg)
	if err != nil {
		panic(err) // plain values
	}
	for _, p := range m.named[to] {
		if !p.lives() {
			continue
		}
		n := p.node
		if len(text) < mostPacket-frameHead-100 {
			m.ml.SendBestEffort(&n, text) // lost ones are sent again by the next poll
			continue
		}
		ml := m.ml
		select {
		case <-m.joining: // one stream at a time
			go func() {
				ml.SendReliable(&n, text)
				m.joining <- struct{}{}
			}()
		default:
		}
	}
}

// join looks for members that are lost: seeds, those gone that were members before, and for a while those that have left. It goes on as long as there are
// any, so that a split heals by itself, whichever side the seeds are on.
func (m *Mesh) join() {
	now := m.now()
	if now < m.nextJoin {
		return
	}
	var lost []string
	for _, s := range m.cfg.Seeds {
		name, addr, _ := strings.Cut(s, "=")
		if name != m.cfg.Name && !m.shown[name].lives() {
			lost = append(lost, name+"/"+addr)
		}
	}
	rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	lost = lost[:min(2, len(lost))]
	others := 1
	for name, one := range m.shown {
		if one.lives() {
			others++
		}
		back := one.State == Dead || one.State == Left && now-one.since < lookFor // it may start again where the seeds are out of reach
		if back && name != m.cfg.Name && len(lost) < 4 {
			lost = append(lost, name+"/"+one.Address)
		}
	}
	if len(lost) == 0 {
		m.joinWait, m.nextJoin = joinMin, now+joinMost/2+rand.N(joinMost)
		return
	}
	select {
	case <-m.joining:
	default:
		return
	}
	m.joinWait = min(2*m.joinWait, joinMost)
	m.nextJoin = now + m.joinWait/2 + rand.N(m.joinWait)
	if others > 16 && rand.N(others) > 16 { // some of a large fleet are enough
		m.joining <- struct{}{}
		return
	}
	ml := m.ml
	go func() { // ends within the streams' times
		ml.Join(lost) // an error means that they are still lost
		m.joining <- struct{}{}
	}()
}
