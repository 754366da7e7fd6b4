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
	// maxResult bounds one result. The activations of a prefill of 4,096 positions of 16 KiB take 64 MiB.
	maxResult = 64<<20 + 4096
)

// run performs one call and settles every step in it.
func (c *Client) run(ctx context.Context, begun *call) {
	c.counters.calls.Inc(1)
	c.counters.steps.Inc(int64(len(begun.waiters)))
	var reached atomic.Bool
	err := c.post(traced(ctx, &reached), begun)
	if err == nil {
		err = errIncomplete
	}
	ran := outcome.NotRun
	if reached.Load() {
		ran = outcome.Unknown
	}
	c.waiting.fail(begun, c.fail("step", ran, err))
}

// traced sets reached once a connection is available, since bytes may be written from then on.
func traced(ctx context.Context, reached *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { reached.Store(true) },
	})
}

func (c *Client) post(ctx context.Context, begun *call) error {
	body, err := proto.Marshal(batchOf(begun))
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/steps", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", contentType)
	response, err := c.stepping.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the engine answered %s", response.Status)
	}
	return c.read(response.Body)
}

func batchOf(begun *call) *enginepb.StepBatch {
	batch := &enginepb.StepBatch{Steps: make([]*enginepb.Step, 0, len(begun.waiters))}
	for _, w := range begun.waiters {
		batch.Steps = append(batch.Steps, w.step)
	}
	return batch
}

// read hands out results until the response ends.
func (c *Client) read(body io.Reader) error {
	reader := bufio.NewReader(body)
	options := protodelim.UnmarshalOptions{MaxSize: maxResult}
	for {
		result := &enginepb.StepResult{}
		err := options.UnmarshalFrom(reader, result)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if !c.waiting.deliver(result) {
			c.counters.dropped.Inc(1)
		}
	}
}
