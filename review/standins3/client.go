//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// result is what a client got for a request.
type result struct {
	status   int
	header   http.Header
	body     string
	complete bool // complete means that the answer ended as its framing says.
	err      error
}

// request sends a request on a connection of its own, as clients do, and reads the answer.
func request(address, method, path, id, body string, deadline time.Duration, more ...string) result {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-one\r\n", method, path, deadline.Milliseconds())
	if id != "" {
		b.WriteString("X-Attempt-Id: " + id + "\r\n")
	}
	for _, h := range more {
		b.WriteString(h + "\r\n")
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return result{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	got, err := io.ReadAll(response.Body)
	// An answer whose length is neither given nor chunked cannot be told from a part of it.
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return result{status: response.StatusCode, header: response.Header, body: string(got), complete: err == nil && framed, err: err}
}
