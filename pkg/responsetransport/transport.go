// Package responsetransport is the transport of clients of net/http that reads responses from a responseconn.Conn.
//
// Usage:
//
//	client := responsetransport.NewClient(&http.Transport{})
package responsetransport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cuminroute/cuminroute/pkg/responseconn"
	"github.com/cuminroute/cuminroute/pkg/responsehead"
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.RoundTripper whose responses are read from a responseconn.Conn. The body of a response without a length ends only
// if the process that sent it still accepts connections then.
type Transport struct {
	base *http.Transport
	dial dialFunc
}

// New returns a Transport that sends requests by base, whose connections it opens as base does. base must not be used
// otherwise.
func New(base *http.Transport) *Transport {
	t := &Transport{base: base, dial: base.DialContext}
	if t.dial == nil {
		t.dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := t.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return responseconn.Wrap(c), nil
	}
	if base.DialTLSContext == nil {
		base.DialTLSContext = t.dialTLS
	}
	return t
}

// dialTLS opens a TLS connection. If it carries HTTP/1, the decrypted responses are read from a responseconn.Conn. net/http itself reads
// those of HTTP/2, and those that pass through a proxy.
func (t *Transport) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	raw, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	config := t.base.TLSClientConfig.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		config.ServerName = host
	}
	if timeout := t.base.TLSHandshakeTimeout; timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	c := tls.Client(raw, config)
	if err := c.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	if c.ConnectionState().NegotiatedProtocol == "h2" {
		return c, nil
	}
	return responseconn.Wrap(c), nil
}

// NewClient returns a client that uses New(base). It follows no redirect: none of the protocols has one, and the response from elsewhere
// would be taken for the answer to the request. The caller gets the redirect itself.
func NewClient(base *http.Transport) *http.Client {
	return &http.Client{
		Transport:     New(base),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	var conn atomic.Pointer[net.Conn] // conn is the connection of the request.
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn.Store(&info.Conn)
		if c, ok := info.Conn.(*responseconn.Conn); ok {
			_ = c.ExpectResponse(nil) // No byte of the response was read.
		}
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	used := conn.Load()
	if used == nil {
		return response, err
	}
	if invalid := checkHead(*used, response); invalid != nil {
		if response != nil {
			_ = response.Body.Close()
		}
		return nil, invalid
	}
	if err == nil && isUnframed(response) {
		response.Body = &unframedBody{ReadCloser: response.Body, accepts: acceptance(ctx, t.dial, (*used).RemoteAddr())}
	}
	return response, err
}

// checkHead returns the error of a head that is not valid. response is nil if it could not be parsed.
func checkHead(used net.Conn, response *http.Response) error {
	if c, ok := used.(*responseconn.Conn); ok {
		return c.HeadError()
	}
	if response == nil {
		return nil
	}
	return responsehead.CheckParsed(response.StatusCode, response.Header) // HTTP/2, or TLS through a proxy.
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
