package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// Two processes serve one address while a new version takes over. The new one gets the listening socket itself from the
// old one, so that both accept from one queue and nothing queued is lost when the old one closes its end. They connect
// through the hand-over socket, a Unix socket in $TMPDIR:
//
//	old to new: one byte, its phase, with the listening socket
//	new to old: one byte, once it serves
//	old to new: one byte, once it knows
//
// The connection stays open while both live: its end shows either that the other has exited, for whatever reason.

// handoverTimeout is for the old process to hand over; then the new one listens by itself.
const handoverTimeout = time.Second

// descriptorSize is that of a descriptor in a control message, in bytes.
const descriptorSize = 4

// handoverPath is the path of the hand-over socket of an address; "": there is none.
func handoverPath(directory, listen string) string {
	if directory == "" {
		return ""
	}
	return filepath.Join(directory, "quaywick-"+listen+".sock")
}

// predecessor is the process that served before, at the other end of a hand-over.
type predecessor struct {
	conn     *net.UnixConn
	listener net.Listener
	phase    phase
}

// connectPredecessor asks the process that serves already for its listener; nil: there is no such process. A socket
// file that a killed process left behind refuses connections.
func connectPredecessor(path string) (*predecessor, error) {
	if path == "" {
		return nil, nil
	}
	conn, err := net.DialTimeout("unix", path, handoverTimeout)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	p := &predecessor{conn: conn.(*net.UnixConn)}
	if err := p.receive(); err != nil {
		conn.Close()
		return nil, fmt.Errorf("receive the listener from %s: %w", path, err)
	}
	return p, nil
}

// receive reads the predecessor's phase and its listener.
func (p *predecessor) receive() error {
	if err := p.conn.SetDeadline(time.Now().Add(handoverTimeout)); err != nil {
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
	p.phase = phase(state[0])
	if p.listener, err = parseListener(rights[:rightsLength]); err != nil {
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

// announceServing announces to the predecessor that clients are accepted here. What it answers to the front from then on
// relies on that, so nobody else may be notified before the predecessor knows.
func (p *predecessor) announceServing() {
	_, _ = p.conn.Write([]byte{1}) // fails only if the predecessor has exited, which awaitEnd notices
}

// awaitEnd returns when the predecessor has exited or the connection was closed here. It calls onAcknowledged for each
// acknowledgement that the predecessor knows that clients are accepted here.
func (p *predecessor) awaitEnd(onAcknowledged func()) {
	for message := make([]byte, 1); ; onAcknowledged() {
		if _, err := p.conn.Read(message); err != nil {
			return
		}
	}
}

// handoverServer hands the listener over to successors.
type handoverServer struct {
	path            string
	log             *slog.Logger
	listener        syscall.Conn
	phase           func() phase
	changeProcesses func(int)     // so many more processes share the limits
	successorServes atomic.Bool   // clients are accepted by a successor
	changed         chan struct{} // holds a token after successorServes has changed; runMembership receives it
}

func (n *Node) newHandoverServer(listener syscall.Conn) *handoverServer {
	return &handoverServer{
		path:            n.cfg.handoverSocket,
		log:             n.log,
		listener:        listener,
		phase:           n.lifecycle.current,
		changeProcesses: n.changeProcesses,
		changed:         make(chan struct{}, 1),
	}
}

// serve waits for successors, one after another, until ctx ends. A successor binds the path for itself, so it is bound
// anew after a successor that exited before this process.
func (h *handoverServer) serve(ctx context.Context) {
	lastError := ""
	for ctx.Err() == nil {
		listener, err := h.bind()
		if err != nil {
			if err.Error() != lastError { // one line for each cause
				h.log.Warn("no successor can take over for now", "err", err)
			}
			lastError = err.Error()
			h.pause(ctx)
			continue
		}
		lastError = ""
		h.serveOne(ctx, listener)
	}
}

// pause waits before the next try, or until ctx ends.
func (h *handoverServer) pause(ctx context.Context) {
	select {
	case <-time.After(handoverTimeout):
	case <-ctx.Done():
	}
}

// serveOne waits for a successor, hands the listener over and stays until the successor exits or ctx ends.
func (h *handoverServer) serveOne(ctx context.Context, listener *net.UnixListener) {
	defer closeSocket(listener)
	stop := context.AfterFunc(ctx, func() { closeSocket(listener) })
	defer stop()
	conn, err := listener.Accept()
	if err == nil {
		h.handOver(ctx, conn.(*net.UnixConn))
	} else {
		h.pause(ctx) // without descriptors it fails again at once
	}
	if ctx.Err() != nil && !h.successorServes.Load() { // else the file is the successor's
		removeFile(h.path)
	}
}

// closeSocket closes what is no longer needed; a failure would change nothing.
func closeSocket(socket io.Closer) { socket.Close() }

// removeFile removes a socket file that may be missing. One that stays refuses connections, which does no harm.
func removeFile(path string) { _ = os.Remove(path) }

// setSuccessorServes notes whether a successor serves, and notifies runMembership.
func (h *handoverServer) setSuccessorServes(serves bool) {
	h.successorServes.Store(serves)
	select {
	case h.changed <- struct{}{}:
	default: // a token is there already
	}
}

// bind binds beside the path and renames the file to it in one step: whoever is bound there before loses nothing but the
// name.
func (h *handoverServer) bind() (*net.UnixListener, error) {
	ownPath := fmt.Sprintf("%s.%d", h.path, os.Getpid())
	removeFile(ownPath) // left by a killed process that had this number
	listener, err := net.Listen("unix", ownPath)
	if err != nil {
		return nil, err
	}
	unixListener := listener.(*net.UnixListener)
	unixListener.SetUnlinkOnClose(false)
	if err := os.Rename(ownPath, h.path); err != nil {
		closeSocket(unixListener)
		removeFile(ownPath)
		return nil, err
	}
	return unixListener, nil
}

// handOver hands the listener to one successor and stays until that exits or ctx ends.
func (h *handoverServer) handOver(ctx context.Context, conn *net.UnixConn) {
	defer closeSocket(conn)
	stop := context.AfterFunc(ctx, func() { closeSocket(conn) })
	defer stop()
	if err := h.sendListener(conn); err != nil {
		h.log.Warn("the listener could not be handed over", "err", err)
		return
	}
	h.log.Info("a successor has the listener")
	h.changeProcesses(+1)
	h.followSuccessor(conn)
	if ctx.Err() == nil { // the successor exited before this process
		h.setSuccessorServes(false)
		h.changeProcesses(-1)
		h.log.Warn("the successor has exited")
	}
}

// sendListener sends the phase and the listener.
func (h *handoverServer) sendListener(conn *net.UnixConn) error {
	raw, err := h.listener.SyscallConn()
	if err != nil {
		return err
	}
	// Not through File and its Fd: that would make the socket blocking, for both processes.
	var sendErr error
	err = raw.Control(func(descriptor uintptr) {
		_, _, sendErr = conn.WriteMsgUnix([]byte{byte(h.phase())}, syscall.UnixRights(int(descriptor)), nil)
	})
	return errors.Join(sendErr, err)
}

// followSuccessor acknowledges that the successor serves, and returns when the connection ends.
func (h *handoverServer) followSuccessor(conn *net.UnixConn) {
	message := make([]byte, 1)
	for {
		if _, err := conn.Read(message); err != nil {
			return
		}
		h.setSuccessorServes(true)
		h.log.Info("the successor serves")
		_, _ = conn.Write(message) // if it fails, so does the next read
	}
}

// sockoptReusePort is SO_REUSEPORT on Linux, which package syscall lacks.
const sockoptReusePort = 0xf

// listenShared listens where a process that could not hand over may listen too.
func listenShared(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(descriptor uintptr) {
			// Where the system has no such option, the address is not shared.
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, sockoptReusePort, 1)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}
