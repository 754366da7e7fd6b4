package service

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// dispatchError is a dispatch without a whole answer.
type dispatchError struct {
	target string
	ran    outcome.Outcome // ran is NotRun where no connection was made, so that no byte was written.
	cause  error
}

func (e *dispatchError) Error() string {
	return fmt.Sprintf("service target %s: %v", e.target, e.cause)
}

func (e *dispatchError) Unwrap() error {
	return e.cause
}

// Ran returns what is known about the execution.
func (e *dispatchError) Ran() outcome.Outcome {
	return e.ran
}

// dispatch sends a request to a target once.
func (c *Client) dispatch(ctx context.Context, client *http.Client, t target.Target, req Request) (Response, error) {
	var reached atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { reached.Store(true) },
	})
	answer, err := exchange(traced, client, t, req)
	if err == nil {
		return answer, nil
	}
	ran := outcome.NotRun
	if reached.Load() {
		ran = outcome.Unknown
	}
	return Response{}, &dispatchError{target: t.Name, ran: ran, cause: err}
}

func exchange(ctx context.Context, client *http.Client, t target.Target, req Request) (Response, error) {
	request, err := outgoing(ctx, t, req)
	if err != nil {
		return Response{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return Response{}, err
	}
	if len(body) > maxAnswer {
		return Response{}, fmt.Errorf("the answer has more than %d bytes", maxAnswer)
	}
	return Response{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

func outgoing(ctx context.Context, t target.Target, req Request) (*http.Request, error) {
	where := url.URL{Scheme: "http", Host: t.Address.String(), Path: "/" + req.Path, RawQuery: req.Query}
	request, err := http.NewRequestWithContext(ctx, req.Method, where.String(), bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	for name, value := range map[string]string{
		"Content-Type": req.ContentType, "Accept": req.Accept, "Idempotency-Key": req.IdempotencyKey,
		"Cuminroute-Workspace": req.Workspace, "X-Request-Id": req.ID,
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	return request, nil
}

func (c *Client) noTarget(req Request) *refusal.Error {
	return refusal.New(http.StatusServiceUnavailable, "no_target", outcome.NotRun,
		"no target of the service %s accepts work", req.Service).WithRetryAfter(noTargetRetryAfter)
}
