package handover

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"syscall"
	"time"

	"keelusher/internal/lifecycle"
)

// descriptorSize is that of a descriptor in a control message, in bytes.
const descriptorSize = 4

// Predecessor is the process that served before, at the other end of a hand-over.
type Predecessor struct {
	Listener net.Listener
	Phase    lifecycle.Phase // as it handed the listener over

	conn *net.UnixConn
}

// Connect asks the process that serves already for its listener; nil: there is no such process. A socket
// file that a killed process left behind refuses connections.
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

// receive reads the predecessor's phase and its listener.
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
		return errors.New("no phase came")
	}
	p.Phase = lifecycle.Phase(state[0])
	if p.Listener, err = parseListener(rights[:rightsLength]); err != nil {
		return err
	}
	return p.conn.SetDeadline(time.Time{})
}

// parseListener makes a listener of the descriptor in a control message.
func parseListener(rights []byte) (net.Listener, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	if len(messages) != 1 {
		return nil, fmt.Errorf("%d control messages came, want one", len(messages))
	}
	descriptors, err := syscall.ParseUnixRights(&messages[0])
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(descriptors[0]), "listener") // the buffer has space for one
	defer file.Close()
	return net.FileListener(file)
}

// AnnounceServing announces to the predecessor that clients are accepted here. What it answers to the front from then
// on relies on that, so nobody else may be notified before the predecessor knows.
func (p *Predecessor) AnnounceServing() {
	_, _ = p.conn.Write([]byte{1}) // fails only if the predecessor has exited, which AwaitEnd notices
}

// AwaitEnd returns when the predecessor has exited or the connection was closed here. It calls onAcknowledged for each
// acknowledgement that the predecessor knows that clients are accepted here.
func (p *Predecessor) AwaitEnd(onAcknowledged func()) {
	for message := make([]byte, 1); ; onAcknowledged() {
		if _, err := p.conn.Read(message); err != nil {
			return
		}
	}
}

// Close ends the connection to the predecessor.
func (p *Predecessor) Close() { closeSocket(p.conn) }
