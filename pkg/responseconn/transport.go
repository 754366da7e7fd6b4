package responseconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cuminroute/cuminroute/pkg/responsehead"
)

// Transport is an http.RoundTripper whose responses are read from a Conn.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that sends requests by base, whose connections it opens as base does. base must not be used
// otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Wrap(c), nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			_ = c.ExpectResponse(nil) // No byte of the response was read.
		}
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	// On a TLS connection the head was not checked before it was parsed.
	if err := responsehead.CheckParsed(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
