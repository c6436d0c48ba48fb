package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// dialNode connects to a node; reads from the connection time out after 20 s.
func dialNode(t *testing.T, n *runningNode) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	setReadTimeout(t, c, 20*time.Second)
	return c
}

// readStatusFrom reads a response to its end and returns its status; 0 if there is none.
func readStatusFrom(in *bufio.Reader) int {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// Guards against request smuggling behind a pipelined request: the first part of an ambiguous head, which arrives
// together with the request before it, must not escape the check of its framing.
func TestNoRequestSmuggledBehindAPipelinedRequest(t *testing.T) {
	inner := requestText("unsafe", "inner", "", "Content-Length: 0")
	body := "0\r\n\r\n" + inner
	length := fmt.Sprintf("Content-Length: %d", len(body))
	outer := requestText("unsafe", "outer", "", length, "X-Note: POST /api HTTP/1.1", "Transfer-Encoding: chunked") + body
	for name, first := range map[string]string{
		"no body": requestText("safe", "first", ""),
		"length":  requestText("unsafe", "first", "payload"),
		"chunked": requestText("unsafe", "first", "", "Transfer-Encoding: chunked") + "7\r\npayload\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, sentWithFirst := range []int{1, strings.Index(outer, "POST /api HTTP/1.1\r\nTransfer"), len(outer)} {
				b := newBackend(t, serveOK)
				c := dialNode(t, startWith(t, b))
				in := bufio.NewReader(c)
				write(t, c, first+outer[:sentWithFirst])
				if status := readStatusFrom(in); status != http.StatusOK {
					t.Fatalf("the first request got status %d, want 200", status)
				}
				write(t, c, outer[sentWithFirst:])
				if status := readStatusFrom(in); status != http.StatusBadRequest {
					t.Errorf("%d bytes sent with the first request: the ambiguous one got status %d, want 400",
						sentWithFirst, status)
				}
				if status := readStatusFrom(in); status != 0 {
					t.Errorf("%d bytes sent with the first request: another response, %d, want a close", sentWithFirst, status)
				}
				if got := b.requests(); got != 1 {
					t.Errorf("%d bytes sent with the first request: %d requests reached the server, want 1", sentWithFirst, got)
				}
			}
		})
	}
}

// Guards against pipelined requests that are rejected or lost because the node reads ahead: all forms of requests that
// arrive together, in pieces of any size, are served in their order.
func TestPipelinedRequestsAreServed(t *testing.T) {
	b := newBackend(t, serveOK)
	n := startWith(t, b)
	requests := []string{
		requestText("unsafe", "%d-chunked", "", "Transfer-Encoding: chunked") + "4\r\na\nb\n\r\n1\r\nc\r\n0\r\n\r\n",
		requestText("safe", "%d-none", ""),
		requestText("unsafe", "%d-trailer", "", "Transfer-Encoding: chunked") + "5\r\na\nb\nc\r\n0\r\nX-T: 1\r\n\r\n",
		requestText("unsafe", "%d-length", "a\nb\nc"),
	}
	for i, size := range []int{1, 7, 100, 10000} {
		var stream strings.Builder
		for _, text := range requests {
			fmt.Fprintf(&stream, text, i)
		}
		before := b.requests()
		c := dialNode(t, n)
		go func() { // ends with the text, or with the connection
			for text := stream.String(); text != ""; {
				piece := text[:min(size, len(text))]
				text = text[len(piece):]
				if _, err := io.WriteString(c, piece); err != nil {
					return
				}
			}
		}()
		in := bufio.NewReader(c)
		for range requests {
			if status := readStatusFrom(in); status != http.StatusOK {
				t.Fatalf("pieces of %d bytes: status %d, want 200", size, status)
			}
		}
		for k, want := range []string{"a\nb\nc", "", "a\nb\nc", "a\nb\nc"} {
			if got := b.body[before+k]; got != want {
				t.Errorf("pieces of %d bytes: request %d reached the server with body %q, want %q", size, k, got, want)
			}
		}
	}
}

// Guards against a request whose path reaches the server in another form than the client has sent: a path with a
// character that may not stand in one was encoded anew.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	b := newBackend(t, serveOK)
	n := startWith(t, b)
	c := dialNode(t, n)
	in := bufio.NewReader(c)
	targets := []string{
		"/api", "/a%2Fb", "/a%2fb\"c", "/a%2Fb?x=%20&y", "/a|b?", "/a#b", "/%41?q=\"%2f\"", "//a/b",
	}
	for i, target := range targets {
		text := requestText("safe", fmt.Sprint(i), "")
		write(t, c, strings.Replace(text, " /api ", " "+target+" ", 1))
		if status := readStatusFrom(in); status != http.StatusOK {
			t.Fatalf("%s: got status %d, want 200", target, status)
		}
		if got := b.seen[i].RequestURI; got != target {
			t.Errorf("the server got the target %q, want %q", got, target)
		}
	}
}
