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
	// clients is the number of clients, each of which sends one request after the other.
	clients = 16
	// longOutput is the number of tokens of long requests. Their difference to requests of one token separates the cost
	// of a token from that of a request.
	longOutput = 33
)

// PathResult is the measurement of one way to reach the engines: through an instance or directly.
type PathResult struct {
	Path                string      `json:"Path"`
	MicrosPerRequest    float64     `json:"MicrosPerRequest"` // MicrosPerRequest is the CPU time of a request of one token, including clients and stand-ins.
	MicrosPerToken      float64     `json:"MicrosPerToken"`
	RequestMillis       Percentiles `json:"RequestMillis"` // RequestMillis is the latency of a request of one token.
	BetweenTokensMillis Percentiles `json:"BetweenTokensMillis"`
	Incomplete          int         `json:"Incomplete"`
}

// OverheadResult compares requests through an instance with those sent directly to the engines.
type OverheadResult struct {
	Measurement           string     `json:"Measurement"`
	Seed                  uint64     `json:"Seed"`
	AddedMicrosPerRequest float64    `json:"AddedMicrosPerRequest"`
	AddedMicrosPerToken   float64    `json:"AddedMicrosPerToken"`
	AddedP99Request       float64    `json:"AddedP99Request"` // AddedP99Request is in milliseconds.
	AddedP99Token         float64    `json:"AddedP99Token"`   // AddedP99Token is in milliseconds.
	Instance              PathResult `json:"Entry"`
	Direct                PathResult `json:"Direct"`
}

// sendFunc sends one request of a client and reads its response to the end.
type sendFunc func(ctx context.Context, client int, a arrival) caller.Response

// Overhead measures one instance with engines that hold the whole model, and the same clients with direct connections
// to the engines.
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
	l := loadGenerator{fleet: f, client: client, deadline: o.Deadline}
	result.Instance = o.measurePath(ctx, "Entry", func(ctx context.Context, _ int, a arrival) caller.Response {
		response, _ := l.sendToReady(ctx, a)
		return response
	})
	c := newEngineClient()
	defer c.client.CloseIdleConnections()
	result.Direct = o.measurePath(ctx, "Direct", func(ctx context.Context, n int, a arrival) caller.Response {
		return c.generate(ctx, f.Engines[n%len(f.Engines)].Addr(), a)
	})
	result.compare()
	return result, ctx.Err()
}

func (r *OverheadResult) compare() {
	r.AddedMicrosPerRequest = r.Instance.MicrosPerRequest - r.Direct.MicrosPerRequest
	r.AddedMicrosPerToken = r.Instance.MicrosPerToken - r.Direct.MicrosPerToken
	r.AddedP99Request = r.Instance.RequestMillis.P99 - r.Direct.RequestMillis.P99
	r.AddedP99Token = r.Instance.BetweenTokensMillis.P99 - r.Direct.BetweenTokensMillis.P99
}

func (o Options) measurePath(ctx context.Context, path string, send sendFunc) PathResult {
	short, shortMicros := o.closedLoop(ctx, 1, send)
	long, longMicros := o.closedLoop(ctx, longOutput, send)
	r := PathResult{Path: path, MicrosPerRequest: shortMicros, MicrosPerToken: (longMicros - shortMicros) / (longOutput - 1)}
	requests, tokens := newRecorder(), newRecorder()
	for _, response := range short {
		requests.add(response.Ended.Sub(response.Started))
	}
	for _, response := range long {
		for i := 1; i < len(response.ChunkTimes); i++ {
			tokens.add(response.ChunkTimes[i].Sub(response.ChunkTimes[i-1]))
		}
	}
	for _, response := range append(short, long...) {
		if response.Outcome != outcome.Done {
			r.Incomplete++
		}
	}
	r.RequestMillis, r.BetweenTokensMillis = requests.percentiles(), tokens.percentiles()
	return r
}

// closedLoop lets each client send one request after the other. It returns the responses and the mean CPU time of a request,
// in microseconds.
func (o Options) closedLoop(ctx context.Context, tokens int, send sendFunc) ([]caller.Response, float64) {
	var mu sync.Mutex
	var responses []caller.Response
	end := time.Now().Add(o.Duration)
	before := cpuTime()
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
				response := send(ctx, n, arrival{id: fmt.Sprintf("q-%d-%d-%d", tokens, n, i), promptWords: 8, outputTokens: tokens, workspace: n % fleet.Workspaces})
				mu.Lock()
				responses = append(responses, response)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	used := cpuTime() - before
	return responses, float64(used.Microseconds()) / float64(max(len(responses), 1))
}

// cpuTime returns the user and system time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// engineClient sends requests in the engine protocol to an engine that holds the whole model.
type engineClient struct{ client *http.Client }

func newEngineClient() engineClient {
	return engineClient{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}}
}

func (c engineClient) generate(ctx context.Context, to netip.AddrPort, a arrival) caller.Response {
	response := caller.Response{Started: time.Now(), Outcome: outcome.Done}
	step := &enginepb.Step{
		Request: a.id, Generation: 1, EndLayer: fleet.Layers, Model: fleet.Model, Prompt: fleet.EnginePrompt(a.prompt()),
	}
	for range a.outputTokens {
		result, err := c.runStep(ctx, to, step)
		if err != nil || result.Status != enginepb.StepStatus_STEP_STATUS_OK {
			response.Err, response.Outcome = err, outcome.Failed
			break
		}
		response.ChunkTimes = append(response.ChunkTimes, time.Now())
		step = &enginepb.Step{
			Request: a.id, Generation: 1, EndLayer: fleet.Layers, Model: fleet.Model,
			Position: result.Position + result.Count, Count: 1, Tokens: []uint32{result.Token},
		}
	}
	response.Ended = time.Now()
	return response
}

func (c engineClient) runStep(ctx context.Context, to netip.AddrPort, step *enginepb.Step) (*enginepb.StepResult, error) {
	body, err := proto.Marshal(&enginepb.StepBatch{Steps: []*enginepb.Step{step}})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/v1/steps", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	result := &enginepb.StepResult{}
	reader := bufio.NewReader(response.Body)
	if err := protodelim.UnmarshalFrom(reader, result); err != nil {
		return nil, err
	}
	// The connection is reused only if the body has been read to its end.
	_, err = io.Copy(io.Discard, reader)
	return result, err
}
