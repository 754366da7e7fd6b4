package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
)

const (
	contentType = "application/x-protobuf"
	// maxResultBytes limits one result. The activations of a prefill of 4,096 positions of 16 KiB take 64 MiB.
	maxResultBytes = 64<<20 + 4096
)

// runCall sends one call and completes every step in it with a result or an error.
func (c *Client) runCall(ctx context.Context, call *stepCall) {
	c.counters.calls.Inc(1)
	c.counters.steps.Inc(int64(len(call.steps)))
	var connected atomic.Bool
	err := c.post(withConnTrace(ctx, &connected), call)
	if err == nil {
		err = errIncomplete
	}
	ran := outcome.NotRun
	if connected.Load() {
		ran = outcome.Unknown
	}
	c.pending.fail(call, c.newError("step", ran, err))
}

// withConnTrace returns a context that sets connected once the HTTP request has a connection. From then on bytes of
// the request may have been written.
func withConnTrace(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
}

func (c *Client) post(ctx context.Context, call *stepCall) error {
	body, err := proto.Marshal(newStepBatch(call))
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/steps", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", contentType)
	response, err := c.stepClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("engine returned HTTP status %s", response.Status)
	}
	return c.readResults(response.Body)
}

func newStepBatch(call *stepCall) *enginepb.StepBatch {
	batch := &enginepb.StepBatch{Steps: make([]*enginepb.Step, 0, len(call.steps))}
	for _, p := range call.steps {
		batch.Steps = append(batch.Steps, p.step)
	}
	return batch
}

// readResults delivers the streamed results to their pending steps until the response ends. It counts and drops
// results without a pending step.
func (c *Client) readResults(body io.Reader) error {
	reader := bufio.NewReader(body)
	options := protodelim.UnmarshalOptions{MaxSize: maxResultBytes}
	for {
		result := &enginepb.StepResult{}
		err := options.UnmarshalFrom(reader, result)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if !c.pending.deliver(result) {
			c.counters.dropped.Inc(1)
		}
	}
}
