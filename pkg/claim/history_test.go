package claim_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/claim"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

// step is one operation on one key as its client observed it. A claim that failed is not a step: it may hold the key
// for a while, which the model allows by accepting Held on a free key.
type step struct {
	key      string
	action   string // action is a claim.State, or Finish or Abandon.
	id       string
	response string
}

// keyState is the state of one key in the model.
type keyState struct {
	id       string
	finished bool
	response string
}

var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		keys := map[string][]porcupine.Operation{}
		for _, op := range history {
			keys[op.Input.(step).key] = append(keys[op.Input.(step).key], op)
		}
		parts := make([][]porcupine.Operation, 0, len(keys))
		for _, part := range keys {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, in := state.(keyState), input.(step)
		own := s.id == in.id && !s.finished
		switch in.action {
		case string(claim.Won):
			return s.id == "", keyState{id: in.id}
		case string(claim.Held):
			return s.id == "" || own, s
		case string(claim.Finished):
			return s.finished && s.id == in.id && s.response == in.response, s
		case "Finish":
			if own {
				return true, keyState{id: in.id, finished: true, response: in.response}
			}
			return true, s
		default:
			if own {
				return true, keyState{}
			}
			return true, s
		}
	},
}

// recorder records a history of operations.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
}

func (r *recorder) add(client int, s step, call time.Time, failed bool) {
	end := time.Since(r.start).Nanoseconds()
	if failed {
		// A write without a response may take effect at any later time.
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{
		ClientId: client, Input: s, Call: call.Sub(r.start).Nanoseconds(), Return: end,
	})
}

func (r *recorder) run(client int, claimer *claim.Claimer, random *rand.Rand, keys, steps int) {
	for range steps {
		key := fmt.Sprint(random.IntN(keys))
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+random.IntN(400))*time.Millisecond)
		call := time.Now()
		got, err := claimer.Claim(ctx, claim.Key{Workspace: "w", Key: key})
		cancel()
		if err != nil {
			continue
		}
		r.add(client, step{key: key, action: string(got.State), id: got.ID, response: string(got.Response.Body)}, call, false)
		if got.State != claim.Won {
			continue
		}
		r.end(client, claimer, random.IntN(3), key, got)
	}
}

// end finishes or abandons a won claim, or leaves it held, as a crashed holder does.
func (r *recorder) end(client int, claimer *claim.Claimer, choice int, key string, t claim.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	call, s := time.Now(), step{key: key, id: t.ID, response: "response of " + t.ID}
	switch choice {
	case 0:
		s.action = "Finish"
		err := claimer.Finish(ctx, t, claim.Response{Status: 200, Body: []byte(s.response)})
		r.add(client, s, call, err != nil)
	case 1:
		s.action = "Abandon"
		err := claimer.Abandon(ctx, t)
		r.add(client, s, call, err != nil)
	}
}

// phases are the faults that are injected in random order during a history. The latency of the last one exceeds the
// client's timeout, so that writes take effect after the client has timed out.
var phases = []platform.Fault{
	{LosePerMille: 150, RefusePerMille: 50, Latency: time.Millisecond},
	{LosePerMille: 400},
	{Outage: platform.Refused},
	{Outage: platform.Silent},
	{Latency: 250 * time.Millisecond},
}

// injectFaults changes the table's faults until ctx ends.
func injectFaults(ctx context.Context, s *platform.Server, random *rand.Rand) {
	for ctx.Err() == nil {
		s.SetFaults(platform.Faults{Table: phases[random.IntN(len(phases))]})
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(20+random.IntN(100)) * time.Millisecond):
		}
		s.SetFaults(platform.Faults{Table: phases[0]})
		time.Sleep(100 * time.Millisecond)
	}
}

// TestLinearizableHistory guards against two winners of one key, and against a duplicate that gets a different response
// than the first request, under lost responses, late writes, outages and concurrent claimers.
func TestLinearizableHistory(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s, err := platform.New(platform.WithSeed(seed))
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(s.Close)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go injectFaults(ctx, s, rand.New(rand.NewPCG(seed, 0)))
			r := &recorder{start: time.Now()}
			r.runAll(t, s, seed)
			counts := map[string]int{}
			for _, op := range r.history {
				counts[op.Input.(step).action]++
			}
			t.Log("steps:", counts)
			result := porcupine.CheckOperationsTimeout(model, r.history, 10*time.Second)
			qt.Assert(t, result, qt.Equals, porcupine.Ok)
			qt.Assert(t, counts[string(claim.Finished)] > 0 && counts[string(claim.Held)] > 0 && counts["Abandon"] > 0, qt.IsTrue)
		})
	}
}

// runAll runs three claimers with four clients each.
func (r *recorder) runAll(t *testing.T, s *platform.Server, seed uint64) {
	var clients, closing sync.WaitGroup
	t.Cleanup(closing.Wait)
	for n := range 3 {
		c := table.New(s.URL(), table.WithTimeout(200*time.Millisecond))
		claimer := claim.New(c, fmt.Sprint(n), claim.WithBatchInterval(2*time.Millisecond))
		t.Cleanup(func() { closing.Go(claimer.Close) })
		for m := range 4 {
			client := 4*n + m
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			clients.Go(func() { r.run(client, claimer, random, 60, 40) })
		}
	}
	clients.Wait()
}

// TestModelRejectsSecondWinner guards against a model that accepts two winners of one key, which would make
// TestLinearizableHistory pass for a broken claimer.
func TestModelRejectsSecondWinner(t *testing.T) {
	two := []porcupine.Operation{
		{Input: step{key: "k", action: "Won", id: "a"}, Call: 0, Return: 1},
		{Input: step{key: "k", action: "Won", id: "b"}, Call: 2, Return: 3},
	}
	qt.Assert(t, porcupine.CheckOperations(model, two), qt.IsFalse)
}
