package daemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/daemon"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/entry"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

// Sizes of the run of conversations. Turns are further apart than a round of polls and the events'
// lag take together.
const (
	conversations = 24
	turns         = 3
	turnPause     = 2500 * time.Millisecond
	wordsOfTurn   = 120
)

// words draws a text of n words.
func words(r *rand.Rand, n int) string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("word%d", r.IntN(1000))
	}
	return strings.Join(list, " ")
}

// converse holds one conversation, whose every turn repeats the ones before.
func converse(t *testing.T, f *fleet.Fleet, client *caller.Client, n int) {
	r := rand.New(rand.NewPCG(7, uint64(n)))
	time.Sleep(time.Duration(r.Int64N(int64(turnPause))))
	var earlier []caller.Message
	for range turns {
		prompt := words(r, wordsOfTurn)
		answer := client.Ask(context.Background(), caller.Question{
			Address: f.Ready()[0].Callers(), Key: fleet.CallerKey(n % fleet.Workspaces), Pipeline: fleet.Pipeline,
			Prompt: prompt, Earlier: earlier, Tokens: 4,
		})
		qt.Check(t, answer.Outcome, qt.Equals, outcome.Done)
		earlier = append(earlier, caller.Message{Role: "user", Content: prompt}, caller.Message{Role: "assistant", Content: answer.Text})
		time.Sleep(turnPause)
	}
}

// prefilled runs all conversations on a fleet with many holders of the first layers, and returns
// what the first stages computed.
func prefilled(t *testing.T, options ...daemon.Option) engine.Prefilled {
	var list []fleet.Worker
	for i := range 8 {
		layers := layer.Range{End: half}
		if i >= 6 {
			layers = layer.Range{First: half, End: fleet.Layers}
		}
		list = append(list, fleet.Worker{Name: fmt.Sprintf("w%d", i), Accelerator: engine.Accelerators[0].Slower(4), Layers: layers})
	}
	f := startFleet(t, fleet.Options{
		Seed: 1, Entries: 1, Workers: list, Engine: []engine.Option{engine.WithEvents(time.Second, 0)},
		Start: entry.StartWith(func(s fleet.Spec) []daemon.Option { return append(quick(s), options...) }),
	})
	client := caller.New()
	defer client.Close()
	var wait sync.WaitGroup
	for n := range conversations {
		wait.Go(func() { converse(t, f, client, n) })
	}
	wait.Wait()
	var sum engine.Prefilled
	for _, e := range f.Engines[:6] {
		p := e.Prefilled()
		sum.Positions += p.Positions
		sum.Cached += p.Cached
	}
	return sum
}

// TestCacheEvents guards against a prefix hash of the caller API that no cache event states, and
// against events that do not reach the choice of targets: the next turn of a conversation then finds
// its prefix cached only by chance.
func TestCacheEvents(t *testing.T) {
	t.Parallel()
	var with, without engine.Prefilled
	var wait sync.WaitGroup
	wait.Go(func() { with = prefilled(t) })
	wait.Go(func() { without = prefilled(t, daemon.WithoutCacheEvents()) })
	wait.Wait()
	share := func(p engine.Prefilled) float64 { return float64(p.Cached) / float64(p.Positions) }
	t.Logf("cached with events: %d of %d (%.2f); without: %d of %d (%.2f)",
		with.Cached, with.Positions, share(with), without.Cached, without.Positions, share(without))
	// A turn's own text is new: of 1+2+3 texts, 1+2 can be cached. By chance, one of six targets has them.
	qt.Assert(t, share(with) > 0.33, qt.IsTrue)
	qt.Assert(t, share(without) < 0.25, qt.IsTrue)
}
