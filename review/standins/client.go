package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// outcome is what a client saw of one attempt.
type outcome struct {
	attempt, via string
	streamed     bool
	sentAt       time.Time
	endedAt      time.Time
	status       int  // status is 0 if no response header came.
	events       int  // events is the number of events that came in order, without a gap.
	complete     bool // complete means that the response ended as a whole one.
	wrong        string
	err          error
}

// took returns how long the attempt took.
func (o outcome) took() time.Duration { return o.endedAt.Sub(o.sentAt) }

func (o outcome) String() string {
	result := fmt.Sprintf("status %d, complete %v, %d events", o.status, o.complete, o.events)
	if o.err != nil {
		result += ", " + o.err.Error()
	}
	return fmt.Sprintf("client: attempt %s via %s after %v: %s%s", o.attempt, o.via, o.took().Round(time.Millisecond), result, o.wrong)
}

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// streamPatience is the longest gap, also before the first event, after which clients abandon a stream: two seconds, four
// times the objective or eight times the longest pause, whichever is longest.
const streamPatience = 2 * time.Second

// clientRequest is what a client sends.
type clientRequest struct {
	attempt, method, path, body string
	deadline                    time.Duration
	tokens                      string // tokens is X-Token-Usage; empty for a request that is not streamed.
}

// write sends the request on a connection.
func (c clientRequest) write(conn net.Conn) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n", c.method, c.path, clientHost,
		headerAttempt, c.attempt, headerDeadline, c.deadline.Milliseconds(), apiKey)
	if c.tokens != "" {
		fmt.Fprintf(&b, "X-Model: %s\r\n%s: %s\r\nX-Prefix-Hash: %s:800\r\n", modelName, headerTokens, c.tokens, c.attempt[:8])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(c.body), c.body)
	_, err := io.WriteString(conn, b.String())
	return err
}

// send sends a request on a new connection to an instance and reads the response up to the deadline of the client.
func send(ctx context.Context, i *instance, c clientRequest) outcome {
	dialer := net.Dialer{Timeout: time.Second}
	started := time.Now()
	conn, err := dialer.DialContext(ctx, "tcp", i.frontend)
	if err != nil {
		return outcome{attempt: c.attempt, via: i.name, streamed: c.tokens != "", sentAt: started, endedAt: time.Now(), err: err}
	}
	defer conn.Close()
	return exchange(conn, i, c)
}

// exchange sends a request on a connection and reads the response.
func exchange(conn net.Conn, i *instance, c clientRequest) outcome {
	o := outcome{attempt: c.attempt, via: i.name, streamed: c.tokens != "", sentAt: time.Now()}
	_ = conn.SetDeadline(o.sentAt.Add(c.deadline))
	o.waitForEvent(conn, c)
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	o.err = c.write(conn)
	if o.err == nil {
		o.receive(conn, c)
	}
	o.endedAt = time.Now()
	return o
}

// waitForEvent sets when the client of a stream leaves if no further event comes.
func (o *outcome) waitForEvent(conn net.Conn, c clientRequest) {
	if c.tokens == "" {
		return
	}
	at := time.Now().Add(streamPatience)
	if end := o.sentAt.Add(c.deadline); at.After(end) {
		at = end
	}
	_ = conn.SetReadDeadline(at)
}

// receive reads the response to a request.
func (o *outcome) receive(conn net.Conn, c clientRequest) {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		o.err = err
		return
	}
	defer response.Body.Close()
	o.status = response.StatusCode
	if response.Header.Get(headerAttempt) != o.attempt {
		o.wrong = ", the response is for " + strconv.Quote(response.Header.Get(headerAttempt))
	}
	if c.tokens == "" || o.status != http.StatusOK {
		body, err := io.ReadAll(response.Body)
		o.err, o.complete = err, err == nil
		if o.complete && o.status == http.StatusOK && string(body) != "done "+c.attempt+" "+c.body {
			o.wrong = ", the body is wrong"
		}
		return
	}
	o.readEvents(conn, response.Body, c)
}

// readEvents reads a stream and checks that its events come in order.
func (o *outcome) readEvents(conn net.Conn, body io.Reader, c clientRequest) {
	reader := bufio.NewReader(body)
	for {
		id, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) && id == "" {
			o.complete = true
			return
		}
		data, err2 := reader.ReadString('\n')
		end, err3 := reader.ReadString('\n')
		if o.err = errors.Join(err, err2, err3); o.err != nil {
			return
		}
		if id+data+end != event(c.body, o.events+1) {
			o.wrong = fmt.Sprintf(", after event %d came %q", o.events, id+data+end)
			return
		}
		o.events++
		o.waitForEvent(conn, c)
	}
}
