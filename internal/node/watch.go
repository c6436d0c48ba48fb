// A single watch or poll of the endpoint list.

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

const watchBufferSize = 64 << 10 // the initial size in bytes; it grows up to maxListSize

var errVersionGap = errors.New("gap in the versions")

// watch requests the changes since the version of the last delivered list and delivers them, until the connection ends
// or the staleness monitor cancels the watch. After a list that is invalid or has a lower version than the last one, it
// fetches a snapshot and returns. It returns the number of heartbeats and lists received, and the reason why it ended.
func (d *discovery) watch(ctx context.Context) (lines int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.setCancelWatch(cancel)
	defer d.setCancelWatch(nil)
	// If the host of discovery is cut off from the network, the connection stays open. Only the absence of lines shows
	// that.
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
			d.staleness.listPartReceived()
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

// setCancelWatch sets the function that cancels the current watch; nil means that there is no watch.
func (d *discovery) setCancelWatch(cancel context.CancelCauseFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancelWatch = cancel
}

// parseUpdate parses a list of a watch and checks that its version is not lower than that of the last delivered list.
func (d *discovery) parseUpdate(text []byte) (endpointList, error) {
	list, err := parseEndpointList(text)
	if err == nil && !list.Snapshot && list.Version < d.version {
		err = errVersionGap
	}
	return list, err
}

// fetchSnapshot fetches and delivers the complete list, from whose version the next watch continues. If that fails, the
// next watch requests the changes since version 0, and so accepts a list of any version.
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

// accept delivers a list to the event loop, and keeps its version once it is delivered.
func (d *discovery) accept(ctx context.Context, list endpointList) error {
	if err := d.deliver(ctx, watchEvent{list: list, clockAhead: d.clockOffset.ahead}); err != nil {
		return withCause(ctx, err)
	}
	d.version = list.Version
	return nil
}

// get requests the endpoint list and returns the response body, which the caller closes.
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

// withCause returns the cause with which ctx was canceled, or err if it was not canceled.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
