package connection

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"

	"github.com/cuminroute/cuminroute/pkg/responseconn"
)

var (
	namespace = errorx.NewNamespace("connection")
	// NotSent is the type of errors after which no byte of the request was sent.
	NotSent = namespace.NewType("notsent")
	// Broken is the type of errors after which the request may have run.
	Broken = namespace.NewType("broken")
	// InvalidResponse is the type of errors for received bytes that are not a response to the request.
	InvalidResponse = namespace.NewType("garbled")
)

const (
	// maxStaleResponses bounds the number of responses to earlier requests that are skipped before the response to a
	// request, and maxStaleBytes bounds the body of each in bytes.
	maxStaleResponses = 3
	maxStaleBytes     = 1 << 20
	// maxHeadBytes bounds the headers of a response in bytes, together with those of the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxRefused bounds the requests that may be refused on a connection before it is closed.
	maxRefused = 64
	// headTimeout bounds the time from the first byte of a header to its end. A sound target sends a header at once.
	headTimeout = 2 * time.Second
)

// errHeadTooLong reports a target that sends a header without end.
var errHeadTooLong = errors.New("the response header is too long")

// headReader reads from a connection, and bounds the bytes and the time of a response header.
type headReader struct {
	netConn   *responseconn.Conn
	limited   bool // limited is set while a header is read.
	remaining int  // remaining is the number of bytes that the header may still have.
	timer     *time.Timer
}

// begin bounds what is read until end is called.
func (r *headReader) begin() {
	r.limited, r.remaining = true, maxHeadBytes
}

// end ends the bounds. It reports whether the time was within them.
func (r *headReader) end() bool {
	r.limited = false
	inTime := r.timer == nil || r.timer.Stop()
	r.timer = nil
	return inTime
}

// Read implements io.Reader. The first read of a header starts its timer, which closes the connection.
func (r *headReader) Read(b []byte) (int, error) {
	if !r.limited {
		return r.netConn.Read(b)
	}
	if r.remaining == 0 {
		return 0, errHeadTooLong
	}
	n, err := r.netConn.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	if r.timer == nil {
		r.timer = time.AfterFunc(headTimeout, func() { _ = r.netConn.Close() })
	}
	return n, err
}

// Conn is a connection to a target. It carries one exchange at a time; only Close may be called from another goroutine.
type Conn struct {
	address     netip.AddrPort
	netConn     *responseconn.Conn
	head        *headReader
	reader      *bufio.Reader // reader reads from head.
	lastUsed    time.Time     // lastUsed is when the last exchange ended.
	idleTimeout time.Duration // idleTimeout is how long the connection may stay idle.
	reused      bool          // reused means that the connection has carried an earlier exchange.
	notReusable atomic.Bool   // notReusable means that the connection must not be used for another exchange.
	// refused holds the IDs of the requests that the target refused on this connection. The target may repeat such a refusal late,
	// and if the same request were sent again here, the ID would not tell that refusal from the response.
	refused     []string
	bodyWritten chan error // bodyWritten receives the result of a concurrent body write; nil if there is none.
}

// Reused reports whether the connection has carried an earlier exchange.
func (c *Conn) Reused() bool { return c.reused }

// Direct reports whether the connection leads directly to its target, not through another host.
func (c *Conn) Direct() bool { return c.netConn.RemoteAddr().String() == c.address.String() }

// RecordRefused records that the target refused the request with the ID without running it. Pool.GetFor does not return the
// connection for the same request again.
func (c *Conn) RecordRefused(id string) {
	if len(c.refused) == maxRefused {
		c.notReusable.Store(true)
		return
	}
	c.refused = append(c.refused, id)
}

// Address returns the target's address.
func (c *Conn) Address() netip.AddrPort { return c.address }

// Close closes the connection immediately and prevents its reuse.
func (c *Conn) Close() {
	c.notReusable.Store(true)
	_ = c.netConn.Close()
}

// SetDeadline sets the deadline of all reads and writes.
func (c *Conn) SetDeadline(t time.Time) error { return c.netConn.SetDeadline(t) }

// isReusable reports whether an idle connection is open and has received nothing.
func (c *Conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	rawConn, err := c.netConn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// RoundTrip sends a request and returns the response; the response body is read from the connection. match reports
// whether a response belongs to this request and not to an earlier one; nil accepts every response. The request body is
// written completely even if the response arrives first: any other bytes would be parsed as part of the body. On
// errors, RoundTrip closes the connection.
func (c *Conn) RoundTrip(head, body []byte, request *http.Request, match func(http.Header) bool) (*http.Response, error) {
	if err := c.send(head, body); err != nil {
		c.Close()
		return nil, err
	}
	for range maxStaleResponses {
		response, err := c.receiveHead(request)
		if err != nil {
			c.Close()
			return nil, err
		}
		if match == nil || match(response.Header) {
			c.updateReuse(response)
			return response, nil
		}
		if err := c.discard(response); err != nil {
			c.Close()
			return nil, err
		}
	}
	c.Close()
	return nil, InvalidResponse.New("%s sent %d responses to earlier requests", c.address, maxStaleResponses)
}

// maxSingleWriteBody is the maximum body size in bytes for which the request is sent in a single write, before the
// response is read.
const maxSingleWriteBody = 16 << 10

// send writes the request. A large body is written concurrently with reading the response.
func (c *Conn) send(head, body []byte) error {
	c.bodyWritten = nil
	if len(body) <= maxSingleWriteBody {
		return c.write(append(head, body...))
	}
	if err := c.write(head); err != nil {
		return err
	}
	c.bodyWritten = make(chan error, 1)
	go func(done chan<- error) {
		_, err := c.netConn.Write(body)
		done <- err
	}(c.bodyWritten)
	return nil
}

func (c *Conn) write(b []byte) error {
	n, err := c.netConn.Write(b)
	switch {
	case err == nil:
		return nil
	case n == 0 && !c.reused:
		return NotSent.Wrap(err, "request to %s was not sent", c.address)
	default:
		return Broken.Wrap(err, "request to %s was not sent completely", c.address)
	}
}

// receiveHead reads the header of the next response, within maxHeadBytes and headTimeout.
func (c *Conn) receiveHead(request *http.Request) (*http.Response, error) {
	received, _ := c.reader.Peek(c.reader.Buffered()) // The buffer holds as many.
	if err := c.netConn.ExpectResponse(received); err != nil {
		return nil, InvalidResponse.Wrap(err, "%s sent an invalid HTTP response", c.address)
	}
	c.head.begin()
	response, err := c.receive(request)
	if inTime := c.head.end(); !inTime && err == nil {
		return nil, InvalidResponse.New("%s took longer than %v to send a response header", c.address, headTimeout)
	}
	return response, err
}

// receive reads the header of the next response that is not an interim (1xx) response.
func (c *Conn) receive(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, request)
		if invalid := c.netConn.HeadError(); invalid != nil {
			err = invalid
		}
		if err != nil {
			if isProtocolError(err) {
				return nil, InvalidResponse.Wrap(err, "%s sent an invalid HTTP response", c.address)
			}
			return nil, Broken.Wrap(err, "no response from %s", c.address)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// isProtocolError reports whether an error concerns the received bytes rather than the connection.
func isProtocolError(err error) bool {
	var netErr net.Error
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &netErr) &&
		!errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.ECONNRESET)
}

// discard reads and discards the body of a response to an earlier request. It fails if the response has no length,
// since the end of such a response cannot be told from the start of the next one.
func (c *Conn) discard(response *http.Response) error {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return InvalidResponse.New("%s sent a response without a length to an earlier request", c.address)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes))
	if err != nil {
		return Broken.Wrap(err, "connection to %s was lost in a response to an earlier request", c.address)
	}
	if n == maxStaleBytes {
		return InvalidResponse.New("%s sent too long a response to an earlier request", c.address)
	}
	return nil
}

// updateReuse updates whether and for how long the connection may be reused, according to the length and the Connection
// and Keep-Alive fields of the response.
func (c *Conn) updateReuse(response *http.Response) {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		c.notReusable.Store(true)
	}
	if timeout, ok := keepAliveTimeout(response.Header.Get("Keep-Alive")); ok {
		c.idleTimeout = max(timeout-idleMargin, 0)
	}
}

// Release returns the connection to the pool after the response body was read to EOF. It closes the connection if the
// request body has not been written completely.
func (c *Conn) Release(pool *Pool) {
	if c.bodyWritten == nil {
		pool.Put(c)
		return
	}
	select {
	case err := <-c.bodyWritten:
		if err != nil {
			c.Close()
			return
		}
		pool.Put(c)
	default:
		c.Close()
	}
}

// keepAliveTimeout returns the idle timeout of a Keep-Alive header, if it has one.
func keepAliveTimeout(value string) (time.Duration, bool) {
	for part := range strings.SplitSeq(value, ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(seconds)
		if err == nil && n >= 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

// RequestHead returns the request line and the header fields as sent on the wire. length is the length of the body in
// bytes. The header must not contain hop-by-hop fields.
func RequestHead(method, uri, host string, header http.Header, length int) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(method)
	b.WriteByte(' ')
	b.WriteString(uri)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(host)
	b.WriteString("\r\n")
	_ = header.Write(&b) // A bytes.Buffer returns no write errors.
	if length > 0 || method != http.MethodGet && method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(length))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
