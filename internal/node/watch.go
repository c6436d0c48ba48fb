// One watch of the endpoint list.

package node

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

const watchBufferSize = 64 << 10 // at first, in bytes

var errVersionGap = errors.New("gap in the versions")

// watch follows the changes from the version held, until the connection ends or the staleness monitor cancels it. After
// a list that does not follow the one before, or is invalid, it fetches a snapshot and ends. It returns the number of
// lines and lists that came, and why it ended.
func (d *discovery) watch(ctx context.Context) (lines int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.setCancelWatch(cancel)
	defer d.setCancelWatch(nil)
	// A machine that is cut off leaves the connection open: only the missing lines show it.
	d.staleness.watchStarted(cancel)
	body, err := d.get(ctx, "?watch=1&from="+strconv.FormatInt(d.version, 10))
	if err != nil {
		return 0, withCause(ctx, err)
	}
	defer body.Close()
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, watchBufferSize), maxListSize)
	var assembler listAssembler
	for scanner.Scan() {
		kind, text := assembler.add(scanner.Bytes())
		switch kind {
		case linePartial:
			d.staleness.partReceived()
		case lineHeartbeat:
			lines++
			d.staleness.lineReceived()
		case lineComplete:
			list, err := d.parseUpdate(text)
			lines++
			d.staleness.lineReceived()
			if err != nil {
				d.log.Warn("invalid endpoint list from discovery", "err", err)
				return lines, d.fetchSnapshot(ctx)
			}
			if err := d.accept(ctx, list); err != nil {
				return lines, err
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return lines, withCause(ctx, err)
	}
	return lines, io.EOF
}

// setCancelWatch sets what ends the current watch; nil: there is none.
func (d *discovery) setCancelWatch(cancel context.CancelCauseFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancelWatch = cancel
}

// parseUpdate parses a list of a watch and checks that it follows the version held.
func (d *discovery) parseUpdate(text []byte) (endpointList, error) {
	list, err := parseEndpointList(text)
	if err == nil && !list.Snapshot && list.Version < d.version {
		err = errVersionGap
	}
	return list, err
}

// fetchSnapshot fetches the complete list; the next watch continues from there. If that fails, the next watch accepts
// any version.
func (d *discovery) fetchSnapshot(ctx context.Context) error {
	body, err := d.get(ctx, "")
	if err != nil {
		d.version = 0
		return withCause(ctx, err)
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxListSize))
	list, parseErr := parseEndpointList(text)
	if err = cmp.Or(err, parseErr); err != nil {
		d.version = 0
		return fmt.Errorf("snapshot of the endpoint list: %w", err)
	}
	return d.accept(ctx, list.asSnapshot())
}

// accept delivers a list to the event loop, and holds its version once it is delivered.
func (d *discovery) accept(ctx context.Context, list endpointList) error {
	if err := d.deliver(ctx, watchEvent{list: list, clockAhead: d.clockOffset.ahead}); err != nil {
		return withCause(ctx, err)
	}
	d.version = list.Version
	return nil
}

// get requests the endpoint list; the caller closes the body.
func (d *discovery) get(ctx context.Context, query string) (io.ReadCloser, error) {
	d.mu.Lock()
	address := d.address
	d.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, err
	}
	sentAt := d.clock.now()
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	d.clockOffset.observe(resp.Header, sentAt, d.clock.now(), d.log)
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp.Body, nil
}

// withCause returns why ctx was canceled, if it was, else err.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
