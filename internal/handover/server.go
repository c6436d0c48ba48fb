// Package handover passes the listening socket of a node from one process to the next, while a new version takes over.
//
// Two processes serve one address meanwhile. The new one gets the listening socket itself from the old one, so that
// both accept from one queue and nothing queued is lost when the old one closes its end. They connect through the
// hand-over socket, a Unix socket in $TMPDIR:
//
//	old to new: one byte, its phase, with the listening socket
//	new to old: one byte, once it serves
//	old to new: one byte, once it knows
//
// The connection stays open while both live: its end shows either that the other has exited, for whatever reason.
package handover

import (
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

// Timeout is for the old process to hand over; then the new one listens by itself.
const Timeout = time.Second

// Path is the path of the hand-over socket of an address; "": there is none.
func Path(directory, listen string) string {
	if directory == "" {
		return ""
	}
	return filepath.Join(directory, "quaywick-"+listen+".sock")
}

// Config is what a Server needs of the node.
type Config struct {
	Path            string // of the hand-over socket; "": there is none
	Log             *slog.Logger
	Listener        syscall.Conn
	Phase           func() lifecycle.Phase
	ChangeProcesses func(change int) // called when so many more processes share the limits
}

// Server hands the listener over to successors.
type Server struct {
	config          Config
	successorServes atomic.Bool   // clients are accepted by a successor
	changed         chan struct{} // holds a token after successorServes has changed
}

// NewServer makes a server; Serve runs it.
func NewServer(config Config) *Server {
	return &Server{config: config, changed: make(chan struct{}, 1)}
}

// SuccessorServes reports whether a successor accepts clients.
func (s *Server) SuccessorServes() bool { return s.successorServes.Load() }

// Changed holds a token after SuccessorServes has changed. It has one receiver.
func (s *Server) Changed() <-chan struct{} { return s.changed }

// Serve waits for successors, one after another, until ctx ends; without a path it returns at once. A successor binds
// the path for itself, so it is bound anew after a successor that exited before this process.
func (s *Server) Serve(ctx context.Context) {
	if s.config.Path == "" {
		return
	}
	lastError := ""
	for ctx.Err() == nil {
		listener, err := s.bind()
		if err != nil {
			if err.Error() != lastError { // one line for each cause
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

// pause waits before the next try, or until ctx ends.
func (s *Server) pause(ctx context.Context) {
	select {
	case <-time.After(Timeout):
	case <-ctx.Done():
	}
}

// serveOne waits for a successor, hands the listener over and stays until the successor exits or ctx ends.
func (s *Server) serveOne(ctx context.Context, listener *net.UnixListener) {
	defer closeSocket(listener)
	stop := context.AfterFunc(ctx, func() { closeSocket(listener) })
	defer stop()
	conn, err := listener.Accept()
	if err == nil {
		s.handOver(ctx, conn.(*net.UnixConn))
	} else {
		s.pause(ctx) // without descriptors it fails again at once
	}
	if ctx.Err() != nil && !s.successorServes.Load() { // else the file is the successor's
		removeFile(s.config.Path)
	}
}

// closeSocket closes what is no longer needed; a failure would change nothing.
func closeSocket(socket io.Closer) { socket.Close() }

// removeFile removes a socket file that may be missing. One that stays refuses connections, which does no harm.
func removeFile(path string) { _ = os.Remove(path) }

// setSuccessorServes notes whether a successor serves, and notifies the receiver of Changed.
func (s *Server) setSuccessorServes(serves bool) {
	s.successorServes.Store(serves)
	select {
	case s.changed <- struct{}{}:
	default: // a token is there already
	}
}

// bind binds beside the path and renames the file to it in one step: whoever is bound there before loses nothing but
// the name.
func (s *Server) bind() (*net.UnixListener, error) {
	ownPath := fmt.Sprintf("%s.%d", s.config.Path, os.Getpid())
	removeFile(ownPath) // left by a killed process that had this number
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

// handOver hands the listener to one successor and stays until that exits or ctx ends.
func (s *Server) handOver(ctx context.Context, conn *net.UnixConn) {
	defer closeSocket(conn)
	stop := context.AfterFunc(ctx, func() { closeSocket(conn) })
	defer stop()
	if err := s.sendListener(conn); err != nil {
		s.config.Log.Warn("the listener could not be handed over", "err", err)
		return
	}
	s.config.Log.Info("a successor has the listener")
	s.config.ChangeProcesses(+1)
	s.followSuccessor(conn)
	if ctx.Err() == nil { // the successor exited before this process
		s.setSuccessorServes(false)
		s.config.ChangeProcesses(-1)
		s.config.Log.Warn("the successor has exited")
	}
}

// sendListener sends the phase and the listener.
func (s *Server) sendListener(conn *net.UnixConn) error {
	raw, err := s.config.Listener.SyscallConn()
	if err != nil {
		return err
	}
	// Not through File and its Fd: that would make the socket blocking, for both processes.
	var sendErr error
	err = raw.Control(func(descriptor uintptr) {
		_, _, sendErr = conn.WriteMsgUnix([]byte{byte(s.config.Phase())}, syscall.UnixRights(int(descriptor)), nil)
	})
	return errors.Join(sendErr, err)
}

// followSuccessor acknowledges that the successor serves, and returns when the connection ends.
func (s *Server) followSuccessor(conn *net.UnixConn) {
	message := make([]byte, 1)
	for {
		if _, err := conn.Read(message); err != nil {
			return
		}
		s.setSuccessorServes(true)
		s.config.Log.Info("the successor serves")
		_, _ = conn.Write(message) // if it fails, so does the next read
	}
}
