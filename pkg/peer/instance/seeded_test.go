package instance_test

import "math/rand/v2"

func seeded(n uint64) *rand.Rand { return rand.New(rand.NewPCG(n, n)) }
