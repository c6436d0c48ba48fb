// Responses of servers: how they are read from a connection, passed to an attempt and interpreted.

package node

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"

	"keelusher/policy"
)

// reply is the message from readResponses to an attempt with the response, or with the error of the wait for one.
type reply struct {
	httpResponse *http.Response
	body         []byte
	bodyMemory   *memoryReservation // for body
	bodyStream   *responseStream    // the remainder of the response body after body; nil if body is complete
	err          error

	early bool // the request was not written completely: the connection cannot be reused
}

// partialResponseError reports that the body of a response was not received completely.
type partialResponseError struct {
	endpoint string
	received int64 // number of bytes of the body that had arrived
	err      error
}

func (e *partialResponseError) Error() string {
	return fmt.Sprintf("body of the response of endpoint %s: %v", e.endpoint, e.err)
}

func (e *partialResponseError) Unwrap() error { return e.err }

// discard releases the resources of a reply that no attempt uses.
func (r reply) discard() { response{bodyMemory: r.bodyMemory, bodyStream: r.bodyStream}.discard() }

// streamFailed reports whether the response was streamed but not forwarded completely.
func (r reply) streamFailed() bool { return r.bodyStream != nil && r.bodyStream.err != nil }

// readResponse reads a response. It buffers the whole body if that is short enough and memory is available; otherwise
// it leaves the body, or its remainder, to be streamed.
func (c *serverConn) readResponse() reply {
	httpResponse, err := c.readFinalHead()
	if err != nil {
		return reply{err: err}
	}
	c.limitedInput.N = math.MaxInt64
	stream := &responseStream{conn: c, response: httpResponse, done: make(chan struct{})}
	if httpResponse.ContentLength < 0 {
		return c.readUnknownLength(stream)
	}
	size := int(min(httpResponse.ContentLength, maxBufferedBody))
	memory := c.pool.buffers.responses.reserve(size)
	if httpResponse.ContentLength > maxBufferedBody || memory == nil {
		memory.release()
		return reply{httpResponse: httpResponse, bodyStream: stream}
	}
	body := make([]byte, size)
	n, err := io.ReadFull(httpResponse.Body, body)
	return c.bufferedReply(stream, body[:n], memory, err)
}

// readUnknownLength reads the body of a response without a Content-Length. It buffers the body if that ends soon, and
// leaves it to be streamed if it is long, if it comes slowly or if no memory is available.
func (c *serverConn) readUnknownLength(stream *responseStream) reply {
	memory := c.pool.buffers.responses.reserve(maxBufferedBody)
	bufferSize := maxBufferedBody
	if memory == nil {
		bufferSize = c.pool.buffers.chunkSize
	}
	stream.reader = newBodyReader(c, stream.response, bufferSize)
	c.pool.running.Add(1)
	go func() { // ends with the body, or with the connection
		defer c.pool.running.Done()
		stream.reader.run()
	}()
	if memory == nil || !stream.reader.collect(c.pool.deadlineOf(c)) {
		return reply{httpResponse: stream.response, bodyMemory: memory, bodyStream: stream}
	}
	body, err := stream.reader.collected()
	return c.bufferedReply(stream, body, memory, err)
}

// bufferedReply returns the reply for a response whose body has been read to its end, or to an error.
func (c *serverConn) bufferedReply(stream *responseStream, body []byte, memory *memoryReservation, err error) reply {
	memory.shrinkTo(len(body))
	if err != nil {
		memory.release()
		return reply{err: &partialResponseError{endpoint: c.endpoint.id, received: int64(len(body)), err: err}}
	}
	stream.closeIfBytesFollow()
	c.endRequest()
	return reply{httpResponse: stream.response, body: body, bodyMemory: memory}
}

// readFinalHead reads the head of the final response and skips interim (1xx) responses before it.
func (c *serverConn) readFinalHead() (*http.Response, error) {
	for {
		httpResponse, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return nil, fmt.Errorf("head of the response of endpoint %s: %w", c.endpoint.id, err)
		}
		interim := httpResponse.StatusCode < 200 && httpResponse.StatusCode != http.StatusSwitchingProtocols
		if !interim {
			return httpResponse, nil
		}
	}
}

// attemptResult returns the result of an attempt that got this response.
func attemptResult(r *http.Response) policy.AttemptResult {
	switch {
	case r.StatusCode == http.StatusOK:
		return policy.Success
	case (r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusGatewayTimeout) &&
		r.Header.Get("X-Rejected") == "1":
		return policy.Overloaded
	}
	return policy.ServerError // the server may have run the request
}

// parseLoadReport returns the load report in a response's X-Load-Report header, or nil if there is none or it is
// invalid. A field missing from the report is -1. The JSON keys are the names that servers and the settings use for the
// fields.
func parseLoadReport(h http.Header) *policy.Load {
	text := h.Get("X-Load-Report")
	if text == "" {
		return nil
	}
	var report struct {
		Busy    *float64 `json:"busy_reqs"`
		Service *float64 `json:"svc_ms"`
	}
	if json.Unmarshal([]byte(text), &report) != nil {
		return nil
	}
	load := &policy.Load{BusyRequests: -1, ServiceTime: -1}
	if report.Busy != nil {
		load.BusyRequests = *report.Busy
	}
	if report.Service != nil {
		load.ServiceTime = millis(*report.Service)
	}
	return load
}
