package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cuminroute/cuminroute/pkg/emulator"
)

// spread is the standard deviation of the logarithm of sizes.
const spread = 0.6

// arrival is a request that a caller sends.
type arrival struct {
	at       time.Duration
	instance int
	work     emulator.TokenCounts
}

// arrivals draws the requests of an experiment. Each policy meets the same.
func (s *Settings) arrivals() []arrival {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	var list []arrival
	for at := time.Duration(0); ; {
		rate := float64(s.Requests.PerSecond) * s.intensity(at)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= s.Length {
			return list
		}
		list = append(list, arrival{
			at: at, instance: random.IntN(s.Instances),
			work: emulator.TokenCounts{Prompt: size(random, s.Requests.Prompt), Output: size(random, s.Requests.Answer)},
		})
	}
}

// intensity is the factor of the bursts at a time.
func (s *Settings) intensity(at time.Duration) float64 {
	factor := 1.0
	for _, b := range s.Bursts {
		if at >= b.From && at < b.To {
			factor *= percent * float64(b.Percent)
		}
	}
	return factor
}

// size draws a number of tokens with that mean.
func size(random *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*math.Exp(spread*random.NormFloat64()-spread*spread/2)))
}
