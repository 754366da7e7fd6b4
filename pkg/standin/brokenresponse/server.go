// Package brokenresponse is a stand-in for a process in trouble: it sends responses that no client may take for an answer.
//
// Usage:
//
//	s, err := brokenresponse.New("")
//	...
//	defer s.Close()
//	for _, r := range brokenresponse.InvalidStatuses("", "{}") {
//		s.SetResponse(r.Bytes)
//		...
//	}
package brokenresponse

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
)

// Server sends the same bytes to each request and closes the connection in order. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	except   map[string]string
	ends     bool
	tls      *tls.Config // tls is nil for a server without TLS.

	mu       sync.Mutex
	response string
	requests int
	excepted int
}

// Option configures a Server.
type Option func(*Server)

// WithResponse sets another response for a path.
func WithResponse(path, response string) Option {
	return func(s *Server) { s.except[path] = response }
}

// WithEnd makes the server end with its first response, as a process does that is killed: its connections end in order, and its host
// refuses new ones.
func WithEnd() Option {
	return func(s *Server) { s.ends = true }
}

// WithTLS makes the server speak TLS.
func WithTLS(config *tls.Config) Option {
	return func(s *Server) { s.tls = config }
}

// New starts a server on a loopback address.
func New(response string, options ...Option) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, response: response, except: make(map[string]string)}
	for _, option := range options {
		option(s)
	}
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// Address returns the server's address.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetResponse sets the response to further requests, and starts to count them anew.
func (s *Server) SetResponse(response string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response, s.requests, s.excepted = response, 0, 0
}

// Requests returns the number of requests that got the response that was set last.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Elsewhere returns the number of requests since then for paths with another response.
func (s *Server) Elsewhere() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.excepted
}

// Close ends the server.
func (s *Server) Close() { _ = s.listener.Close() }

// next counts a request and returns its response.
func (s *Server) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	return s.response
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if response, ok := s.except[request.URL.Path]; ok {
		s.mu.Lock()
		s.excepted++
		s.mu.Unlock()
		_, _ = io.WriteString(c, response)
		return
	}
	_, _ = io.WriteString(c, s.next())
	if s.ends {
		s.Close()
	}
}
