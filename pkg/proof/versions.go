package proof

import (
	"context"
	"fmt"
	"time"
)

// watchInterval is the interval at which the active versions are polled.
const watchInterval = 10 * time.Millisecond

// WatchVersions polls the active versions until the context is done, and then sends every decrease it observed.
func (h *Harness) WatchVersions(ctx context.Context) <-chan []string {
	result := make(chan []string, 1)
	go func() {
		highest := map[string]uint64{}
		var decreases []string
		for ctx.Err() == nil {
			for _, instance := range h.Instances() {
				version := instance.Version()
				if version < highest[instance.Name] {
					decreases = append(decreases, fmt.Sprintf("%s reverted from version %d to %d", instance.Name, highest[instance.Name], version))
				}
				highest[instance.Name] = max(version, highest[instance.Name])
			}
			time.Sleep(watchInterval)
		}
		result <- decreases
	}()
	return result
}
