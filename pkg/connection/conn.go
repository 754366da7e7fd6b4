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
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

var (
	namespace = errorx.NewNamespace("connection")
	// NotSent is the type of errors after which no byte of the request has left.
	NotSent = namespace.NewType("notsent")
	// Broken is the type of errors after which the request may have run.
	Broken = namespace.NewType("broken")
	// InvalidResponse is the type of errors about bytes that are not the response to the request.
	InvalidResponse = namespace.NewType("garbled")
)

// maxStray bounds the responses to earlier requests that are skipped, and strayBytes the body of each.
const (
	maxStray   = 3
	strayBytes = 1 << 20
)

// Conn is one connection to a target. It serves one exchange at a time; only Close may be called from another
// goroutine.
type Conn struct {
	address netip.AddrPort
	raw     net.Conn
	reader  *bufio.Reader
	used    time.Time     // used is when the last exchange ended.
	keep    time.Duration // keep is how long the connection may stay idle.
	reused  bool
	spent   bool // spent means that the connection must not be used again.
	writing chan error
}

// Reused reports whether the connection had served an exchange before.
func (c *Conn) Reused() bool { return c.reused }

// Address returns the target's address.
func (c *Conn) Address() netip.AddrPort { return c.address }

// Close closes the connection at once.
func (c *Conn) Close() {
	c.spent = true
	_ = c.raw.Close()
}

// SetDeadline bounds all reads and writes.
func (c *Conn) SetDeadline(t time.Time) error { return c.raw.SetDeadline(t) }

// quiet reports whether an idle connection is open and nothing has arrived on it.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.raw.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peek := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peek, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// RoundTrip sends a request and returns the head of its response, whose body reads from the connection. The match
// function tells the response to this request from a late one to an earlier request. A request body is sent to
// its end also if the response comes first: other bytes in its place would count as part of it.
func (c *Conn) RoundTrip(head, body []byte, request *http.Request, match func(http.Header) bool) (*http.Response, error) {
	if err := c.send(head, body); err != nil {
		c.Close()
		return nil, err
	}
	for range maxStray {
		response, err := c.receive(request)
		if err != nil {
			c.Close()
			return nil, err
		}
		if match == nil || match(response.Header) {
			c.learn(response)
			return response, nil
		}
		if err := c.skip(response); err != nil {
			c.Close()
			return nil, err
		}
	}
	c.Close()
	return nil, InvalidResponse.New("%s answered %d times for other requests", c.address, maxStray)
}

// smallBody is the size up to which a request is sent in one write, before the response is read.
const smallBody = 16 << 10

// send writes the request. A large body is written beside the reading of the response.
func (c *Conn) send(head, body []byte) error {
	c.writing = nil
	if len(body) <= smallBody {
		return c.write(append(head, body...))
	}
	if err := c.write(head); err != nil {
		return err
	}
	c.writing = make(chan error, 1)
	go func(done chan<- error) {
		_, err := c.raw.Write(body)
		done <- err
	}(c.writing)
	return nil
}

func (c *Conn) write(b []byte) error {
	n, err := c.raw.Write(b)
	switch {
	case err == nil:
		return nil
	case n == 0 && !c.reused:
		return NotSent.Wrap(err, "the request to %s did not leave", c.address)
	default:
		return Broken.Wrap(err, "the request to %s was cut off", c.address)
	}
}

// receive reads the head of the next response that is not an interim one.
func (c *Conn) receive(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			if isProtocol(err) {
				return nil, InvalidResponse.Wrap(err, "%s sent no response", c.address)
			}
			return nil, Broken.Wrap(err, "no response from %s", c.address)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// isProtocol reports whether an error is about the bytes received rather than the connection.
func isProtocol(err error) bool {
	var network net.Error
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &network) &&
		!errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.ECONNRESET)
}

// skip reads the response to an earlier request to its end. One without a length cannot be told from what follows.
func (c *Conn) skip(response *http.Response) error {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return InvalidResponse.New("%s sent a response without an end for another request", c.address)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, strayBytes))
	if err != nil {
		return Broken.Wrap(err, "%s broke off", c.address)
	}
	if n == strayBytes {
		return InvalidResponse.New("%s sent a long response for another request", c.address)
	}
	return nil
}

// learn takes in what the response says of the connection's future.
func (c *Conn) learn(response *http.Response) {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		c.spent = true
	}
	if keep, ok := keepAlive(response.Header.Get("Keep-Alive")); ok {
		c.keep = max(keep-idleMargin, 0)
	}
}

// Release gives the connection back to the pool after the body was read to its end, once the request body has left
// as well.
func (c *Conn) Release(pool *Pool) {
	if c.writing == nil {
		pool.Put(c)
		return
	}
	select {
	case err := <-c.writing:
		if err != nil {
			c.Close()
			return
		}
		pool.Put(c)
	default:
		c.Close()
	}
}

// keepAlive returns the idle timeout of a Keep-Alive header.
func keepAlive(value string) (time.Duration, bool) {
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

// RequestHead returns the bytes of a request's head. The header must not hold fields of one connection.
func RequestHead(method, uri, host string, header http.Header, length int) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(method)
	b.WriteByte(' ')
	b.WriteString(uri)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(host)
	b.WriteString("\r\n")
	_ = header.Write(&b) // A buffer takes all writes.
	if length > 0 || method != http.MethodGet && method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(length))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
