package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cuminroute/cuminroute/pkg/emulator"
)

// sizeSigma is the standard deviation of the logarithm of request sizes, which are log-normal.
const sizeSigma = 0.6

// arrival is a request that a client sends to an instance.
type arrival struct {
	at       time.Duration
	instance int
	size     emulator.TokenCounts
}

// arrivals draws the requests of an experiment from its seed. They are the same for every policy.
func (s *Settings) arrivals() []arrival {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	var list []arrival
	for at := time.Duration(0); ; {
		rate := float64(s.Requests.PerSecond) * s.burstFactor(at)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= s.Duration {
			return list
		}
		list = append(list, arrival{
			at: at, instance: random.IntN(s.Instances),
			size: emulator.TokenCounts{Prompt: drawTokens(random, s.Requests.MeanPromptTokens), Output: drawTokens(random, s.Requests.MeanOutputTokens)},
		})
	}
}

// burstFactor returns the product of the factors of the bursts active at a time.
func (s *Settings) burstFactor(at time.Duration) float64 {
	factor := 1.0
	for _, b := range s.Bursts {
		if at >= b.From && at < b.To {
			factor *= percent * float64(b.Percent)
		}
	}
	return factor
}

// drawTokens draws a number of tokens, at least 1, from a log-normal distribution with the given mean.
func drawTokens(random *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*math.Exp(sizeSigma*random.NormFloat64()-sizeSigma*sizeSigma/2)))
}
