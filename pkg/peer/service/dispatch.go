package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/responsebody"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// dispatchError is the error of a dispatch without a complete response.
type dispatchError struct {
	target string
	ran    outcome.Outcome // ran is NotRun if no connection was made, so that no byte was written.
	cause  error
}

func (e *dispatchError) Error() string {
	return fmt.Sprintf("service target %s: %v", e.target, e.cause)
}

func (e *dispatchError) Unwrap() error {
	return e.cause
}

// Ran returns the outcome: NotRun, or Unknown if the target may have run the request.
func (e *dispatchError) Ran() outcome.Outcome {
	return e.ran
}

// dispatch sends a request to one target, without retries. The error is a *dispatchError.
func (c *Client) dispatch(ctx context.Context, client *http.Client, t target.Target, req Request) (Response, error) {
	var peer atomic.Value // peer is the remote address of the request's connection; unset if there was none.
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { peer.Store(info.Conn.RemoteAddr().String()) },
	})
	direct := func() bool { return peer.Load() == t.Address.String() }
	response, err := c.roundTrip(traced, client, t, req, direct)
	if err == nil {
		return response, nil
	}
	ran := outcome.NotRun
	if peer.Load() != nil {
		ran = outcome.Unknown
	}
	return Response{}, &dispatchError{target: t.Name, ran: ran, cause: err}
}

// errRelayedEnd reports the end of a body without a length on a connection through another instance, which may have ended itself.
var errRelayedEnd = errors.New("the end of the response may be that of the relaying instance")

// roundTrip sends a request and reads the response. direct reports whether the request's connection leads directly to the target.
func (c *Client) roundTrip(ctx context.Context, client *http.Client, t target.Target, req Request, direct func() bool) (Response, error) {
	request, err := newRequest(ctx, t, req)
	if err != nil {
		return Response{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	if err := c.echoing.check(t.Address, req.ID, response.Header, client == c.pooled); err != nil {
		return Response{}, err
	}
	c.recordRequestLimit(t.Name, response.Header)
	body, err := responsebody.Read(response.Body, maxResponseBytes)
	if err != nil {
		return Response{}, err
	}
	if unframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0; unframed && !direct() {
		return Response{}, errRelayedEnd
	}
	return Response{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

func newRequest(ctx context.Context, t target.Target, req Request) (*http.Request, error) {
	address := url.URL{Scheme: "http", Host: t.Address.String(), Path: "/" + req.Path, RawQuery: req.Query}
	request, err := http.NewRequestWithContext(ctx, req.Method, address.String(), bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	for name, value := range map[string]string{
		"Content-Type": req.ContentType, "Accept": req.Accept, "Idempotency-Key": req.IdempotencyKey,
		"Cuminroute-Workspace": req.Workspace, requestIDHeader: req.ID,
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	return request, nil
}

func (c *Client) noTargetError(req Request) *refusal.Error {
	return refusal.New(http.StatusServiceUnavailable, "no_target", outcome.NotRun,
		"no target of the service %s accepts work", req.Service).WithRetryAfter(noTargetRetryAfter)
}
