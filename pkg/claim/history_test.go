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

// step is one operation on one key as its caller saw it. A claim that ended in an error is not a
// step: it may hold the key for a while, which the model allows by accepting Held on a free key.
type step struct {
	key    string
	action string // action is a claim.State, or Finish or Abandon.
	id     string
	answer string
}

// held is the state of one key in the model.
type held struct {
	id       string
	finished bool
	answer   string
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
	Init: func() any { return held{} },
	Step: func(state, input, _ any) (bool, any) {
		s, in := state.(held), input.(step)
		mine := s.id == in.id && !s.finished
		switch in.action {
		case string(claim.Won):
			return s.id == "", held{id: in.id}
		case string(claim.Held):
			return s.id == "" || mine, s
		case string(claim.Finished):
			return s.finished && s.id == in.id && s.answer == in.answer, s
		case "Finish":
			if mine {
				return true, held{id: in.id, finished: true, answer: in.answer}
			}
			return true, s
		default:
			if mine {
				return true, held{}
			}
			return true, s
		}
	},
}

// recorder collects a history.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
}

func (r *recorder) add(client int, s step, call time.Time, failed bool) {
	end := time.Since(r.start).Nanoseconds()
	if failed {
		// A write without an answer may take effect at any later time.
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{
		ClientId: client, Input: s, Call: call.Sub(r.start).Nanoseconds(), Return: end,
	})
}

func (r *recorder) run(client int, clerk *claim.Claimer, random *rand.Rand, keys, steps int) {
	for range steps {
		key := fmt.Sprint(random.IntN(keys))
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+random.IntN(400))*time.Millisecond)
		call := time.Now()
		ticket, err := clerk.Claim(ctx, claim.Key{Workspace: "w", Key: key})
		cancel()
		if err != nil {
			continue
		}
		r.add(client, step{key: key, action: string(ticket.State), id: ticket.ID, answer: string(ticket.Response.Body)}, call, false)
		if ticket.State != claim.Won {
			continue
		}
		r.end(client, clerk, random.IntN(3), key, ticket)
	}
}

// end finishes or abandons a won claim, or leaves it as a crashed holder does.
func (r *recorder) end(client int, clerk *claim.Claimer, choice int, key string, t claim.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	call, s := time.Now(), step{key: key, id: t.ID, answer: "answer of " + t.ID}
	switch choice {
	case 0:
		s.action = "Finish"
		err := clerk.Finish(ctx, t, claim.Response{Status: 200, Body: []byte(s.answer)})
		r.add(client, s, call, err != nil)
	case 1:
		s.action = "Abandon"
		err := clerk.Abandon(ctx, t)
		r.add(client, s, call, err != nil)
	}
}

// phases are the faults that follow each other during a history. The latency of the last one is
// above the client's timeout, so writes take effect after the client has given up.
var phases = []platform.Fault{
	{LosePerMille: 150, RefusePerMille: 50, Latency: time.Millisecond},
	{LosePerMille: 400},
	{Outage: platform.Refused},
	{Outage: platform.Silent},
	{Latency: 250 * time.Millisecond},
}

// fail changes the faults until ctx ends.
func fail(ctx context.Context, s *platform.Server, random *rand.Rand) {
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

// TestHistory guards against two winners of one key, and against a repeat that gets another answer
// than the first, under lost answers, late writes, outages and concurrent clerks.
func TestHistory(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s, err := platform.New(platform.WithSeed(seed))
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(s.Close)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go fail(ctx, s, rand.New(rand.NewPCG(seed, 0)))
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

// runAll runs three clerks with four clients each.
func (r *recorder) runAll(t *testing.T, s *platform.Server, seed uint64) {
	var clients, closing sync.WaitGroup
	t.Cleanup(closing.Wait)
	for n := range 3 {
		c := table.New(s.URL(), table.WithTimeout(200*time.Millisecond))
		clerk := claim.New(c, fmt.Sprint(n), claim.WithBatchInterval(2*time.Millisecond))
		t.Cleanup(func() { closing.Go(clerk.Close) })
		for m := range 4 {
			client := 4*n + m
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			clients.Go(func() { r.run(client, clerk, random, 60, 40) })
		}
	}
	clients.Wait()
}

// TestModel guards against a model that accepts a second winner.
func TestModel(t *testing.T) {
	two := []porcupine.Operation{
		{Input: step{key: "k", action: "Won", id: "a"}, Call: 0, Return: 1},
		{Input: step{key: "k", action: "Won", id: "b"}, Call: 2, Return: 3},
	}
	qt.Assert(t, porcupine.CheckOperations(model, two), qt.IsFalse)
}
