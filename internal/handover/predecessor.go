package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"keelusher/internal/lifecycle"
)

// descriptorSize is the size in bytes of a file descriptor in a control message.
const descriptorSize = 4

// Predecessor is the connection to the process that hands its listener over to this one.
type Predecessor struct {
	Listener net.Listener
	Phase    lifecycle.Phase // of the predecessor when it handed the listener over

	conn   *net.UnixConn
	sender atomic.Pointer[frameSender] // nil until the exchange begins
}

// Connect receives the listener of the process that is serving now. It returns nil if there is no such process: the
// socket file does not exist, or a killed process has left it behind and it refuses connections.
func Connect(path string) (*Predecessor, error) {
	if path == "" {
		return nil, nil
	}
	conn, err := net.DialTimeout("unix", path, Timeout)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	p := &Predecessor{conn: conn.(*net.UnixConn)}
	if err := p.receive(); err != nil {
		conn.Close()
		return nil, fmt.Errorf("receive the listener from %s: %w", path, err)
	}
	return p, nil
}

// receive reads the predecessor's phase and the listener.
func (p *Predecessor) receive() error {
	if err := p.conn.SetDeadline(time.Now().Add(Timeout)); err != nil {
		return err
	}
	state, rights := make([]byte, 1), make([]byte, syscall.CmsgSpace(descriptorSize))
	stateLength, rightsLength, _, _, err := p.conn.ReadMsgUnix(state, rights)
	if err != nil {
		return err
	}
	if stateLength != 1 {
		return errors.New("got a message without a phase")
	}
	p.Phase = lifecycle.Phase(state[0])
	if p.Listener, err = parseListener(rights[:rightsLength]); err != nil {
		return err
	}
	return p.conn.SetDeadline(time.Time{})
}

// parseListener returns the listener whose descriptor is in a control message.
func parseListener(rights []byte) (net.Listener, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	if len(messages) != 1 {
		return nil, fmt.Errorf("got %d control messages, want one", len(messages))
	}
	descriptors, err := syscall.ParseUnixRights(&messages[0])
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(descriptors[0]), "listener") // the only one: rights has no space for more
	defer file.Close()
	return net.FileListener(file)
}

// AnnounceServing notifies the predecessor that this process accepts clients. Until the predecessor has acknowledged
// the notification, this process must not report to any other process that it serves, because the predecessor's answers
// to readiness checks depend on the notification.
func (p *Predecessor) AnnounceServing() {
	_, _ = p.conn.Write([]byte{serving}) // fails only if the predecessor has exited, which Follow detects
}

// Follow returns when the predecessor has exited or Close was called. It calls onAcknowledged when the predecessor
// acknowledges AnnounceServing, then asks for an exchange and passes on what the predecessor shares.
func (p *Predecessor) Follow(onAcknowledged func(), shared Shared) {
	reader := bufio.NewReader(p.conn)
	for {
		message, err := reader.ReadByte()
		if err != nil {
			return
		}
		switch message {
		case serving:
			onAcknowledged()
			_, _ = p.conn.Write([]byte{exchangeRequested}) // as in AnnounceServing
		case exchangeBegins:
			sender := startFrameSender(p.conn, nil)
			defer sender.stop()
			p.sender.Store(sender)
			defer p.sender.Store(nil)
			shared.receive(reader)
			return
		}
	}
}

// ShareID passes the ID of a request that may run to the predecessor, as long as it runs. It never blocks.
func (p *Predecessor) ShareID(id string) { p.sender.Load().send(idFrame(id)) }

// ShareEvent passes the event of an operator to the predecessor, as long as it runs. It never blocks.
func (p *Predecessor) ShareEvent(event lifecycle.Event) { p.sender.Load().send(frameOfEvent(event)) }

// Close ends the connection to the predecessor.
func (p *Predecessor) Close() { closeSocket(p.conn) }
