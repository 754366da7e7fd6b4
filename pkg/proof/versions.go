package proof

import (
	"context"
	"fmt"
	"time"
)

// watchInterval is the time between two looks at the versions in force.
const watchInterval = 10 * time.Millisecond

// WatchVersions observes the versions in force until the context ends, and then sends every fall that it saw.
func (w *Harness) WatchVersions(ctx context.Context) <-chan []string {
	result := make(chan []string, 1)
	go func() {
		highest := map[string]uint64{}
		var falls []string
		for ctx.Err() == nil {
			for _, m := range w.Instances() {
				version := m.Version()
				if version < highest[m.Name] {
					falls = append(falls, fmt.Sprintf("%s fell from version %d to %d", m.Name, highest[m.Name], version))
				}
				highest[m.Name] = max(version, highest[m.Name])
			}
			time.Sleep(watchInterval)
		}
		result <- falls
	}()
	return result
}
