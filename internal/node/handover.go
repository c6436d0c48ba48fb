package node

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// Two processes serve one address while a new version takes over. The new one gets the listening socket itself
// from the old one, so that both accept from one queue and nothing queued is lost when the old one closes its end.
// They meet at a Unix socket in $TMPDIR:
//
//	old to new: one byte, its phase, with the listening socket
//	new to old: one byte, once it serves
//	old to new: one byte, once it knows
//
// The connection stays open while both live: its end tells either that the other is gone, however it went.
const handoverTimeout = time.Second // for the old process to hand over; then the new one listens by itself

// handoverPath is where processes on one address meet; "": nowhere.
func handoverPath(tmp, listen string) string {
	if tmp == "" {
		return ""
	}
	return filepath.Join(tmp, "quaywick-"+listen+".sock")
}

// predecessor is the process that served before, at the other end of a hand-over.
type predecessor struct {
	conn     *net.UnixConn
	listener net.Listener
	phase    phase
}

// connectPredecessor asks for the listener of the process that serves already; nil: there is none. A file that a killed
// process left refuses connections.
func connectPredecessor(path string) (*predecessor, error) {
	if path == "" {
		return nil, nil
	}
	c, err := net.DialTimeout("unix", path, handoverTimeout)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	p := &predecessor{conn: c.(*net.UnixConn)}
	if err := p.receive(); err != nil {
		c.Close()
		return nil, err
	}
	return p, nil
}

func (p *predecessor) receive() error {
	p.conn.SetDeadline(time.Now().Add(handoverTimeout))
	defer p.conn.SetDeadline(time.Time{})
	state, rights := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	n, rn, _, _, err := p.conn.ReadMsgUnix(state, rights)
	if err != nil {
		return err
	}
	if n != 1 {
		return errors.New("no phase came")
	}
	p.phase = phase(state[0])
	messages, err := syscall.ParseSocketControlMessage(rights[:rn])
	if err != nil {
		return err
	}
	if len(messages) != 1 {
		return fmt.Errorf("%d control messages came", len(messages))
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil {
		return err
	}
	f := os.NewFile(uintptr(fds[0]), "listener") // there is room for one
	defer f.Close()
	p.listener, err = net.FileListener(f)
	return err
}

// announceServing tells the predecessor that callers are served here too. What it says to the front from then on counts on
// that, so nobody may be told of it before the predecessor knows.
func (p *predecessor) announceServing() { p.conn.Write([]byte{1}) } // fails only if it is gone

// awaitEnd returns when the predecessor has ended or the connection was closed here. It says when the predecessor knows.
func (p *predecessor) awaitEnd(knows func()) {
	for b := make([]byte, 1); ; knows() {
		if _, err := p.conn.Read(b); err != nil {
			return
		}
	}
}

// handoverServer gives the listener to a successor.
type handoverServer struct {
	path            string
	log             *slog.Logger
	listener        syscall.Conn // the listener
	phase           func() phase
	changeProcesses func(int)     // so many more processes share the limits
	successorServes atomic.Bool   // a successor serves
	changed         chan struct{} // holds a token after passed has changed
}

// serve waits for successors, one after another, until ctx ends. A successor binds the place for itself, so what it
// left there when it died is bound anew.
func (h *handoverServer) serve(ctx context.Context) {
	said := ""
	for ctx.Err() == nil {
		ln, err := h.bind()
		if err != nil {
			if err.Error() != said { // once for each cause
				h.log.Warn("no successor can take over for now", "err", err)
			}
			said = err.Error()
			select {
			case <-time.After(handoverTimeout):
			case <-ctx.Done():
			}
			continue
		}
		said = ""
		stop := context.AfterFunc(ctx, func() { ln.Close() })
		c, err := ln.Accept()
		if err == nil {
			h.handOver(ctx, c.(*net.UnixConn))
		} else {
			select { // without descriptors it fails again at once
			case <-time.After(handoverTimeout):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil && !h.successorServes.Load() { // else the file is the successor's
			os.Remove(h.path)
		}
		stop()
		ln.Close()
	}
}

// setSuccessorServes notes whether a successor serves, and lets one know that waits for it.
func (h *handoverServer) setSuccessorServes(serves bool) {
	h.successorServes.Store(serves)
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// bind binds beside the path and moves the file there in one step: whoever is bound there before loses nothing but
// the name.
func (h *handoverServer) bind() (*net.UnixListener, error) {
	own := fmt.Sprintf("%s.%d", h.path, os.Getpid())
	os.Remove(own) // left by a killed process that had this number
	ln, err := net.Listen("unix", own)
	if err != nil {
		return nil, err
	}
	u := ln.(*net.UnixListener)
	u.SetUnlinkOnClose(false)
	if err := os.Rename(own, h.path); err != nil {
		u.Close()
		os.Remove(own)
		return nil, err
	}
	return u, nil
}

// handOver hands the listener to one successor and stays until that ends.
func (h *handoverServer) handOver(ctx context.Context, c *net.UnixConn) {
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	raw, err := h.listener.SyscallConn()
	if err == nil {
		// Not through File and its Fd: that would make the socket block, for both processes.
		cerr := raw.Control(func(fd uintptr) {
			_, _, err = c.WriteMsgUnix([]byte{byte(h.phase())}, syscall.UnixRights(int(fd)), nil)
		})
		err = errors.Join(err, cerr)
	}
	if err != nil {
		h.log.Warn("the listener could not be handed over", "err", err)
		return
	}
	h.log.Info("a successor has the listener")
	h.changeProcesses(+1)
	for b := make([]byte, 1); ; c.Write(b) {
		if _, err := c.Read(b); err != nil {
			break
		}
		h.setSuccessorServes(true)
		h.log.Info("the successor serves")
	}
	if ctx.Err() == nil { // it ended before this process did
		h.setSuccessorServes(false)
		h.changeProcesses(-1)
		h.log.Warn("the successor is gone")
	}
}

const sockoptReusePort = 0xf // SO_REUSEPORT on Linux; package syscall lacks it

// listenShared listens where a process that could not hand over may listen too.
func listenShared(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		// Where the system has no such option, the address is just not shared.
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, sockoptReusePort, 1) })
	}}
	return lc.Listen(context.Background(), "tcp", addr)
}
