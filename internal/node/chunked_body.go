package node

import (
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"net/textproto"
)

// chunkedBody reads the chunked body of a response from its connection. Unlike the body of an http.Response, it returns
// the last bytes before it waits for the trailer.
type chunkedBody struct {
	conn   *serverConn
	chunks io.Reader
	ended  bool // the last chunk has been read
}

func newChunkedBody(c *serverConn) *chunkedBody {
	return &chunkedBody{conn: c, chunks: httputil.NewChunkedReader(c.reader)}
}

// Read implements io.Reader. Its error is io.EOF only after the trailer.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, b.readTrailer()
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended, err = true, nil
	}
	return n, err
}

// readTrailer reads and ignores the trailer, and returns io.EOF if it is complete.
func (b *chunkedBody) readTrailer() error {
	b.conn.limitedInput.N = maxResponseHead
	_, err := textproto.NewReader(b.conn.reader).ReadMIMEHeader()
	switch {
	case err == nil:
		return io.EOF
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("trailer of a chunked body: %w", err)
}
