package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/engine/enginepb"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

const (
	// callers is the number of callers that ask one question after the other.
	callers = 16
	// longAnswer and one token tell the cost of a token from that of a request.
	longAnswer = 33
)

// PathResult is the measurement of one way to the stand-in.
type PathResult struct {
	Path                string      `json:"Path"`
	MicrosPerRequest    float64     `json:"MicrosPerRequest"` // MicrosPerRequest is processor time of a request of one token, callers and stand-ins included.
	MicrosPerToken      float64     `json:"MicrosPerToken"`
	RequestMillis       Percentiles `json:"RequestMillis"` // RequestMillis is the time of a request of one token.
	BetweenTokensMillis Percentiles `json:"BetweenTokensMillis"`
	Incomplete          int         `json:"Incomplete"`
}

// OverheadResult compares the way over an entry instance with the direct way.
type OverheadResult struct {
	Measurement           string     `json:"Measurement"`
	Seed                  uint64     `json:"Seed"`
	AddedMicrosPerRequest float64    `json:"AddedMicrosPerRequest"`
	AddedMicrosPerToken   float64    `json:"AddedMicrosPerToken"`
	AddedP99Request       float64    `json:"AddedP99Request"` // AddedP99Request is in milliseconds.
	AddedP99Token         float64    `json:"AddedP99Token"`   // AddedP99Token is in milliseconds.
	Entry                 PathResult `json:"Entry"`
	Direct                PathResult `json:"Direct"`
}

// ask sends one question and reads its whole answer.
type ask func(ctx context.Context, caller int, q arrival) caller.Response

// Overhead measures one entry instance before workers that hold the whole model, and the same
// callers directly at the workers.
func Overhead(ctx context.Context, o Options) (OverheadResult, error) {
	o = o.withDefaults()
	result := OverheadResult{Measurement: "Overhead", Seed: o.Seed}
	f, err := o.startFleet(ctx, fleet.Options{Instances: 1, EngineSpecs: fleet.FullModelEngines()})
	if err != nil {
		return result, err
	}
	defer f.Close()
	client := caller.New()
	defer client.Close()
	l := load{fleet: f, client: client, deadline: o.Deadline}
	result.Entry = o.measurePath(ctx, "Entry", func(ctx context.Context, _ int, q arrival) caller.Response {
		a, _ := l.ask(ctx, q)
		return a
	})
	d := newDirect()
	defer d.client.CloseIdleConnections()
	result.Direct = o.measurePath(ctx, "Direct", func(ctx context.Context, n int, q arrival) caller.Response {
		return d.ask(ctx, f.Engines[n%len(f.Engines)].Addr(), q)
	})
	result.compare()
	return result, ctx.Err()
}

func (r *OverheadResult) compare() {
	r.AddedMicrosPerRequest = r.Entry.MicrosPerRequest - r.Direct.MicrosPerRequest
	r.AddedMicrosPerToken = r.Entry.MicrosPerToken - r.Direct.MicrosPerToken
	r.AddedP99Request = r.Entry.RequestMillis.P99 - r.Direct.RequestMillis.P99
	r.AddedP99Token = r.Entry.BetweenTokensMillis.P99 - r.Direct.BetweenTokensMillis.P99
}

func (o Options) measurePath(ctx context.Context, path string, ask ask) PathResult {
	short, shortMicros := o.closedLoop(ctx, 1, ask)
	long, longMicros := o.closedLoop(ctx, longAnswer, ask)
	r := PathResult{Path: path, MicrosPerRequest: shortMicros, MicrosPerToken: (longMicros - shortMicros) / (longAnswer - 1)}
	requests, tokens := newRecorder(), newRecorder()
	for _, a := range short {
		requests.add(a.Ended.Sub(a.Started))
	}
	for _, a := range long {
		for i := 1; i < len(a.ChunkTimes); i++ {
			tokens.add(a.ChunkTimes[i].Sub(a.ChunkTimes[i-1]))
		}
	}
	for _, a := range append(short, long...) {
		if a.Outcome != outcome.Done {
			r.Incomplete++
		}
	}
	r.RequestMillis, r.BetweenTokensMillis = requests.percentiles(), tokens.percentiles()
	return r
}

// closedLoop lets each caller ask one question after the other, and returns the answers and the
// processor time of one in microseconds.
func (o Options) closedLoop(ctx context.Context, tokens int, ask ask) ([]caller.Response, float64) {
	var mu sync.Mutex
	var answers []caller.Response
	end := time.Now().Add(o.Duration)
	before := processorTime()
	var asking sync.WaitGroup
	for n := range callers {
		asking.Go(func() {
			for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
				a := ask(ctx, n, arrival{id: fmt.Sprintf("q-%d-%d-%d", tokens, n, i), words: 8, tokens: tokens, workspace: n % fleet.Workspaces})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	asking.Wait()
	used := processorTime() - before
	return answers, float64(used.Microseconds()) / float64(max(len(answers), 1))
}

// processorTime returns the user and system time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// direct speaks the engine protocol to an engine that holds the whole model.
type direct struct{ client *http.Client }

func newDirect() direct {
	return direct{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}}
}

func (d direct) ask(ctx context.Context, to netip.AddrPort, q arrival) caller.Response {
	a := caller.Response{Started: time.Now(), Outcome: outcome.Done}
	step := &enginepb.Step{
		Request: q.id, Generation: 1, EndLayer: fleet.Layers, Model: fleet.Model, Prompt: fleet.EnginePrompt(q.prompt()),
	}
	for range q.tokens {
		result, err := d.step(ctx, to, step)
		if err != nil || result.Status != enginepb.StepStatus_STEP_STATUS_OK {
			a.Err, a.Outcome = err, outcome.Failed
			break
		}
		a.ChunkTimes = append(a.ChunkTimes, time.Now())
		step = &enginepb.Step{
			Request: q.id, Generation: 1, EndLayer: fleet.Layers, Model: fleet.Model,
			Position: result.Position + result.Count, Count: 1, Tokens: []uint32{result.Token},
		}
	}
	a.Ended = time.Now()
	return a
}

func (d direct) step(ctx context.Context, to netip.AddrPort, step *enginepb.Step) (*enginepb.StepResult, error) {
	body, err := proto.Marshal(&enginepb.StepBatch{Steps: []*enginepb.Step{step}})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/v1/steps", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	result := &enginepb.StepResult{}
	reader := bufio.NewReader(response.Body)
	if err := protodelim.UnmarshalFrom(reader, result); err != nil {
		return nil, err
	}
	// The connection is reused only after the end of the body.
	_, err = io.Copy(io.Discard, reader)
	return result, err
}
