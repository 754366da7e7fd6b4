package daemon_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
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
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
	"github.com/cuminroute/cuminroute/pkg/standin/inprocess"
)

// Sizes of the conversations in TestCacheEvents.
const (
	conversations = 16
	turns         = 3
	wordsPerTurn  = 120
)

// randomWords returns a text of n random words.
func randomWords(r *rand.Rand, n int) string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("word%d", r.IntN(1000))
	}
	return strings.Join(list, " ")
}

// conversation is the conversation of one client. The prompt of each turn repeats the earlier turns.
type conversation struct {
	number  int
	random  *rand.Rand
	earlier []caller.Message
}

func (c *conversation) turn(t *testing.T, f *fleet.Fleet, client *caller.Client) {
	prompt := randomWords(c.random, wordsPerTurn)
	response := client.Chat(context.Background(), caller.ChatRequest{
		Address: f.Ready()[0].ClientAddress(), Key: fleet.ClientKey(c.number % fleet.Workspaces), Pipeline: fleet.Pipeline,
		Prompt: prompt, History: c.earlier, Tokens: 4,
	})
	qt.Check(t, response.Outcome, qt.Equals, outcome.Done, qt.Commentf("%s: %v", response.Code, response.Err))
	c.earlier = append(c.earlier, caller.Message{Role: "user", Content: prompt}, caller.Message{Role: "assistant", Content: response.Text})
}

// seenEvents returns how many cache events the first instance has processed.
func seenEvents(t *testing.T, f *fleet.Fleet) int {
	response, err := http.Get("http://" + f.Instances()[0].OperatorAddress().String() + "/metrics")
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	found := regexp.MustCompile(`(?m)^cuminroute_events_seen (\d+)`).FindSubmatch(page)
	qt.Assert(t, found, qt.HasLen, 2)
	seen, err := strconv.Atoi(string(found[1]))
	qt.Assert(t, err, qt.IsNil)
	return seen
}

// prefillTotals returns the sum of the prefill counters of the engines with the first layers.
func prefillTotals(f *fleet.Fleet) engine.PrefillStats {
	var sum engine.PrefillStats
	for _, e := range f.Engines[:6] {
		p := e.PrefillStats()
		sum.Positions += p.Positions
		sum.Cached += p.Cached
		sum.Events += p.Events
	}
	return sum
}

// runConversations runs all conversations on a fleet with six engines for the first layers, and returns
// the prefill counters of these engines. With cache events, each turn waits for the events of the turn before.
func runConversations(t *testing.T, options ...daemon.Option) engine.PrefillStats {
	var list []fleet.EngineSpec
	for i := range 8 {
		layers := layer.Range{End: half}
		if i >= 6 {
			layers = layer.Range{First: half, End: fleet.Layers}
		}
		list = append(list, fleet.EngineSpec{Name: fmt.Sprintf("w%d", i), Accelerator: engine.Accelerators[0], Layers: layers})
	}
	f := startFleet(t, fleet.Options{
		Seed: 1, Instances: 1, EngineSpecs: list, EngineOptions: []engine.Option{engine.WithEvents(time.Second, 0)},
		Start: inprocess.StartWith(func(s fleet.InstanceSpec) []daemon.Option { return append(shortDurations(s), options...) }),
	})
	client := caller.New()
	defer client.Close()
	var all []*conversation
	for n := range conversations {
		all = append(all, &conversation{number: n, random: rand.New(rand.NewPCG(7, uint64(n)))})
	}
	for range turns {
		// The turns run one at a time, since a target with more load than the mean is not chosen, whatever it has cached.
		for _, c := range all {
			c.turn(t, f, client)
		}
		if len(options) == 0 {
			eventually(t, 15*time.Second, "the cache events were not processed", func() bool { return seenEvents(t, f) >= prefillTotals(f).Events })
		}
	}
	return prefillTotals(f)
}

// TestCacheEvents guards against prefix hashes of the client API that differ from those in the cache events,
// and against events that do not affect the choice of targets. Either way, the next turn of a conversation
// finds its prefix cached only by chance.
func TestCacheEvents(t *testing.T) {
	t.Parallel()
	var with, without engine.PrefillStats
	var wait sync.WaitGroup
	wait.Go(func() { with = runConversations(t) })
	wait.Go(func() { without = runConversations(t, daemon.WithoutCacheEvents()) })
	wait.Wait()
	cachedRatio := func(p engine.PrefillStats) float64 { return float64(p.Cached) / float64(p.Positions) }
	t.Logf("cached with events: %d of %d (%.2f); without: %d of %d (%.2f)",
		with.Cached, with.Positions, cachedRatio(with), without.Cached, without.Positions, cachedRatio(without))
	// The text of each turn is new: of the 1+2+3 texts of a conversation, 1+2 can be cached. A random choice
	// finds the one target of six that has these texts in one of six cases.
	qt.Assert(t, cachedRatio(with) > 0.33, qt.IsTrue)
	qt.Assert(t, cachedRatio(without) < 0.25, qt.IsTrue)
}
