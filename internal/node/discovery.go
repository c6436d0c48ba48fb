package node

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"keelusher/policy"
)

const (
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = time.Second // two calls must fit in the grace of a drain that the agent knows of
	maxListSize = 4 << 20
)

// endpointList is the list of servers, or its changes, in discovery's form.
type endpointList struct {
	Version   int64            `json:"seq"`
	Snapshot  bool             `json:"whole"`
	Endpoints []listedEndpoint `json:"hosts"`
}

type listedEndpoint struct {
	ID              string  `json:"host"`
	Address         string  `json:"dial"`
	Zone            string  `json:"site"`
	MachineType     string  `json:"class"`
	Cell            int     `json:"block"`
	Health          string  `json:"health"`
	StartedAtMillis float64 `json:"born_ms"`
}

func (h listedEndpoint) endpoint() policy.Endpoint {
	s := policy.Endpoint{ID: h.ID, Zone: h.Zone, MachineType: h.MachineType, Cell: h.Cell, StartedAt: millis(h.StartedAtMillis)}
	switch h.Health {
	case "in_service":
		s.State = policy.Ready
	case "terminated":
		s.State = policy.Removed
	default: // a state we don't know is no invitation to send
		s.State = policy.Draining
	}
	return s
}

// watchEvent is what discovery has to tell the loop.
type watchEvent struct {
	list       endpointList
	cached     bool
	pollFailed bool // an asked watch failed or ended
}

// discovery keeps a watch on the list. Where lists are pushed it mends a broken watch by itself;
// where they are asked for, the module says when to ask.
type discovery struct {
	polled        bool
	version       int64
	log           *slog.Logger
	client        *http.Client
	deliver       func(context.Context, watchEvent) error // hands news to the loop
	watchRequests chan struct{}                           // the module's wish for a watch, or a move
	staleness     *stalenessMonitor

	mu          sync.Mutex
	address     string
	cancelWatch context.CancelCauseFunc // ends the watch that is on; nil: none is
}

func newDiscovery(cfg Config, log *slog.Logger, tell func(context.Context, watchEvent) error) *discovery {
	return &discovery{address: cfg.Discovery, polled: cfg.Settings.PollEndpoints, version: cfg.KnownEndpoints.Version, log: log, deliver: tell, watchRequests: make(chan struct{}, 1),
		staleness: newStalenessMonitor(watchSilenceTimeout, !cfg.Settings.PollEndpoints),
		client: &http.Client{Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}}}
}

// requestWatch asks for a watch; one that is asked for already is enough.
func (d *discovery) requestWatch() {
	select {
	case d.watchRequests <- struct{}{}:
	default:
	}
}

var errMoved = errors.New("discovery has moved")

// moveTo turns to another address. A watch that is on goes on there at once, from the version held.
func (d *discovery) moveTo(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.address {
		return
	}
	d.address = addr
	if d.cancelWatch != nil {
		d.cancelWatch(errMoved)
	}
	d.requestWatch()
}

// run watches until ctx ends.
func (d *discovery) run(ctx context.Context) {
	wait := minBackoff
	var lines int
	var err error
	for ctx.Err() == nil {
		if d.polled {
			select {
			case <-d.watchRequests:
			case <-ctx.Done():
				return
			}
		}
		if lines, err = d.watch(ctx); lines > 0 {
			wait = minBackoff
		}
		pause := wait/2 + rand.N(wait/2) // jitter keeps nodes from calling together
		d.staleness.watchEnded(pause)
		if ctx.Err() != nil {
			return
		}
		d.log.Warn("watch of discovery ended", "lines", lines, "err", err)
		if errors.Is(err, errMoved) {
			continue
		}
		if d.polled {
			d.deliver(ctx, watchEvent{pollFailed: true}) // fails only as ctx ends
			continue
		}
		select {
		case <-time.After(pause):
		case <-d.watchRequests: // it has moved
		case <-ctx.Done():
		}
		wait = min(2*wait, maxBackoff)
	}
}

var errVersionGap = errors.New("gap in the versions")

// watch follows the changes from the version held, until the connection ends or falls silent. After
// a line that does not follow the one before, or can't be read, it starts over from the whole list.
func (d *discovery) watch(ctx context.Context) (lines int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.mu.Lock()
	d.cancelWatch = cancel
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.cancelWatch = nil
	}()
	d.staleness.watchStarted(cancel) // a cut-off machine says nothing: the connection stays open, and only the missing lines tell
	body, err := d.get(ctx, "?watch=1&from="+strconv.FormatInt(d.version, 10))
	if err != nil {
		return 0, withCause(ctx, err)
	}
	defer body.Close()
	in := bufio.NewScanner(body)
	in.Buffer(make([]byte, 0, 64<<10), maxListSize)
	var begun []byte // of a list in many lines
	for in.Scan() {
		if len(in.Bytes()) == 0 && begun == nil {
			lines++
			d.staleness.lineReceived()
			continue
		}
		// An empty line says that all before it is whole.
		begun = append(begun, in.Bytes()...)
		if len(in.Bytes()) > 0 && len(begun) <= maxListSize && !listEnded(in.Bytes(), begun) {
			begun = append(begun, '\n')
			d.staleness.partReceived()
			continue
		}
		n, err := parseEndpointList(begun)
		begun = nil
		lines++
		d.staleness.lineReceived()
		if err == nil && !n.Snapshot && n.Version < d.version {
			err = errVersionGap
		}
		if err != nil {
			d.log.Warn("line from discovery is of no use", "err", err)
			return lines, d.fetchSnapshot(ctx)
		}
		if err := d.accept(ctx, n); err != nil {
			return lines, err
		}
	}
	if err := in.Err(); err != nil {
		return lines, withCause(ctx, err)
	}
	return lines, io.EOF
}

// listEnded says that a list is whole, or spoilt, with its last line; it only looks closer where one can end.
func listEnded(line, list []byte) bool {
	if !bytes.HasSuffix(bytes.TrimRight(line, " \t\r"), []byte("}")) {
		return false
	}
	var any json.RawMessage
	return !errors.Is(json.NewDecoder(bytes.NewReader(list)).Decode(&any), io.ErrUnexpectedEOF)
}

// parseEndpointList reads a list that came whole. One without hosts would empty the list that the node has.
func parseEndpointList(text []byte) (n endpointList, err error) {
	if err = json.Unmarshal(text, &n); err == nil && n.Endpoints == nil {
		err = errors.New("no hosts are named")
	}
	return n, err
}

// fetchSnapshot fetches the fetchSnapshot list; the next watch goes on from there.
func (d *discovery) fetchSnapshot(ctx context.Context) error {
	body, err := d.get(ctx, "")
	if err != nil {
		d.version = 0 // whatever the next watch begins with is taken
		return withCause(ctx, err)
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxListSize))
	n, bad := parseEndpointList(text)
	if err = cmp.Or(err, bad); err != nil {
		d.version = 0
		return fmt.Errorf("whole list: %w", err)
	}
	n.Snapshot = true
	return d.accept(ctx, n)
}

func (d *discovery) accept(ctx context.Context, n endpointList) error {
	if err := d.deliver(ctx, watchEvent{list: n}); err != nil {
		return withCause(ctx, err)
	}
	d.version = n.Version // not before the loop has it: the next watch goes on from here
	return nil
}

func (d *discovery) get(ctx context.Context, query string) (io.ReadCloser, error) {
	d.mu.Lock()
	addr := d.address
	d.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp.Body, nil
}

func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
