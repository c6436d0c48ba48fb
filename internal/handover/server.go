// Package handover passes the listening socket of a node from one process, the predecessor, to the next, its successor,
// during an upgrade.
//
// For a while both processes serve one address. The successor receives the listening socket itself, so that both accept
// from the same queue and no queued connection is lost when the predecessor closes its descriptor. They connect through
// the hand-over socket, a Unix socket in $TMPDIR:
//
//	predecessor to successor: one byte, its phase, with the listening socket
//	successor to predecessor: one byte, once it serves
//	predecessor to successor: one byte, to acknowledge that
//	successor to predecessor: one byte, to ask for an exchange
//	predecessor to successor: one byte, that it begins
//	either way: frames with the IDs of requests that must not run twice, and with the calls of operators
//
// The connection stays open as long as both processes run. Its end tells either process that the other has exited.
package handover

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"keelusher/internal/lifecycle"
)

// Timeout is the time that a predecessor has to hand over. If it takes longer, the successor opens a listener of its
// own.
const Timeout = time.Second

// Path returns the path of the hand-over socket for a listen address; "" if directory is empty.
func Path(directory, listen string) string {
	if directory == "" {
		return ""
	}
	return filepath.Join(directory, "quaywick-"+listen+".sock")
}

// Config holds what a Server needs from the node.
type Config struct {
	Path     string // of the hand-over socket; "": there is none
	Log      *slog.Logger
	Listener syscall.Conn
	Phase    func() lifecycle.Phase

	// Shared receives what a successor shares, and says what to share with it; nil: nothing is shared.
	Shared *Shared

	// OnProcessCountChange is called with +1 or -1 when the number of processes that share the node's limits changes.
	OnProcessCountChange func(change int)
}

// Server hands the listener over to successors.
type Server struct {
	config          Config
	successorServes atomic.Bool                 // a successor accepts clients
	changed         chan struct{}               // holds a token after successorServes has changed
	sender          atomic.Pointer[frameSender] // to the successor; nil: it has not asked for an exchange
}

// NewServer returns a server, which Serve runs.
func NewServer(config Config) *Server {
	return &Server{config: config, changed: make(chan struct{}, 1)}
}

// SuccessorServes reports whether a successor accepts clients.
func (s *Server) SuccessorServes() bool { return s.successorServes.Load() }

// ShareID passes the ID of a request that may run to the successor, if there is one. It never blocks.
func (s *Server) ShareID(id string) { s.sender.Load().send(idFrame(id)) }

// ShareEvent passes the event of an operator to the successor, if there is one. It never blocks.
func (s *Server) ShareEvent(event lifecycle.Event) { s.sender.Load().send(frameOfEvent(event)) }

// Changed returns a channel that gets a value after each change of SuccessorServes; changes that were not received yet
// share one value. It must have a single receiver.
func (s *Server) Changed() <-chan struct{} { return s.changed }

// Serve waits for successors, one after another, until ctx ends; without a path it returns at once. A successor takes
// over the path for its own successors, so the path is bound again if the successor exits before this process.
func (s *Server) Serve(ctx context.Context) {
	if s.config.Path == "" {
		return
	}
	lastError := ""
	for ctx.Err() == nil {
		listener, err := s.bind()
		if err != nil {
			if err.Error() != lastError { // do not log the same error twice in a row
				s.config.Log.Warn("no successor can take over for now", "err", err)
			}
			lastError = err.Error()
			s.pause(ctx)
			continue
		}
		lastError = ""
		s.serveOne(ctx, listener)
	}
}

// pause waits before a retry, or until ctx ends.
func (s *Server) pause(ctx context.Context) {
	select {
	case <-time.After(Timeout):
	case <-ctx.Done():
	}
}

// serveOne waits for a successor, hands the listener over, and returns when the successor exits or ctx ends.
func (s *Server) serveOne(ctx context.Context, listener *net.UnixListener) {
	defer closeSocket(listener)
	stop := context.AfterFunc(ctx, func() { closeSocket(listener) })
	defer stop()
	conn, err := listener.Accept()
	if err == nil {
		s.handOver(ctx, conn.(*net.UnixConn))
	} else {
		s.pause(ctx) // a retry would fail at once while there are no free descriptors
	}
	if ctx.Err() != nil && !s.successorServes.Load() { // otherwise the file belongs to the successor
		removeFile(s.config.Path)
	}
}

// closeSocket closes a socket that is no longer needed, and ignores errors.
func closeSocket(socket io.Closer) { socket.Close() }

// removeFile removes a socket file, which need not exist. Errors are ignored: a file that is left behind refuses
// connections, which does no harm.
func removeFile(path string) { _ = os.Remove(path) }

// setSuccessorServes records whether a successor serves, and notifies the receiver of Changed.
func (s *Server) setSuccessorServes(serves bool) {
	s.successorServes.Store(serves)
	select {
	case s.changed <- struct{}{}:
	default: // the receiver has not taken the previous token
	}
}

// bind listens on a temporary path and renames it to the configured one. That is atomic, and a process that listened on
// the configured path before keeps its socket and its connections.
func (s *Server) bind() (*net.UnixListener, error) {
	ownPath := fmt.Sprintf("%s.%d", s.config.Path, os.Getpid())
	removeFile(ownPath) // left behind by a killed process with the same process id
	listener, err := net.Listen("unix", ownPath)
	if err != nil {
		return nil, err
	}
	unixListener := listener.(*net.UnixListener)
	unixListener.SetUnlinkOnClose(false)
	if err := os.Rename(ownPath, s.config.Path); err != nil {
		closeSocket(unixListener)
		removeFile(ownPath)
		return nil, err
	}
	return unixListener, nil
}

// handOver hands the listener to one successor, and returns when the successor exits or ctx ends.
func (s *Server) handOver(ctx context.Context, conn *net.UnixConn) {
	defer closeSocket(conn)
	stop := context.AfterFunc(ctx, func() { closeSocket(conn) })
	defer stop()
	phase := s.config.Phase()
	if err := s.sendListener(conn, phase); err != nil {
		s.config.Log.Warn("the listener could not be handed over", "err", err)
		return
	}
	s.config.Log.Info("a successor has the listener")
	s.config.OnProcessCountChange(+1)
	s.followSuccessor(conn, phase)
	if ctx.Err() == nil { // the successor exited before this process
		s.setSuccessorServes(false)
		s.config.OnProcessCountChange(-1)
		s.config.Log.Warn("the successor has exited")
	}
}

// sendListener sends the phase of the node and its listener.
func (s *Server) sendListener(conn *net.UnixConn, phase lifecycle.Phase) error {
	raw, err := s.config.Listener.SyscallConn()
	if err != nil {
		return err
	}
	// The methods File of the listener and Fd of that file are not used, because they would put the socket into
	// blocking mode for both processes.
	var sendErr error
	err = raw.Control(func(descriptor uintptr) {
		_, _, sendErr = conn.WriteMsgUnix([]byte{byte(phase)}, syscall.UnixRights(int(descriptor)), nil)
	})
	return errors.Join(sendErr, err)
}

// followSuccessor acknowledges each announcement that the successor serves, exchanges frames once the successor asks
// for that, and returns when the connection ends. The argument is the phase that was handed over.
func (s *Server) followSuccessor(conn *net.UnixConn, handedOver lifecycle.Phase) {
	reader := bufio.NewReader(conn)
	for {
		message, err := reader.ReadByte()
		if err != nil {
			return
		}
		if message == exchangeRequested && s.config.Shared != nil {
			s.exchange(conn, reader, handedOver)
			return
		}
		s.setSuccessorServes(true)
		s.config.Log.Info("the successor serves")
		_, _ = conn.Write([]byte{message}) // if it fails, the next read fails too
	}
}

// exchange shares with the successor until the connection ends.
func (s *Server) exchange(conn *net.UnixConn, reader *bufio.Reader, handedOver lifecycle.Phase) {
	if _, err := conn.Write([]byte{exchangeBegins}); err != nil {
		return
	}
	sender := startFrameSender(conn, s.config.Shared.firstFrames(handedOver))
	defer sender.stop()
	s.sender.Store(sender)
	defer s.sender.Store(nil)
	s.config.Shared.receive(reader)
}
