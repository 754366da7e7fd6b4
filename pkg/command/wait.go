package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

// waitPause is the time between two looks at the instances. A version spreads in seconds.
const waitPause = 200 * time.Millisecond

// waitFor returns when every live instance has the version in force, or an error that names those
// that have not after limit. A failed look is repeated: the change itself is already accepted.
func (e *Environment) waitFor(ctx context.Context, client *operator.Client, version uint64, limit time.Duration) error {
	started := e.Now()
	for {
		instances, err := client.Instances(ctx)
		behind, live := lagging(instances, version)
		if err == nil && live > 0 && len(behind) == 0 {
			_, _ = fmt.Fprintf(e.Stderr, "version %d is in force on %d live instances after %s\n", version, live, e.Now().Sub(started).Round(time.Millisecond))
			return nil
		}
		if ctx.Err() != nil || e.Now().Sub(started) >= limit {
			return notInForce(version, limit, behind, err)
		}
		e.Pause(ctx, waitPause)
	}
}

func lagging(instances []api.Instance, version uint64) (behind []string, live int) {
	for _, i := range instances {
		if !i.Live {
			continue
		}
		live++
		if i.Version < version {
			behind = append(behind, fmt.Sprintf("%s (version %d)", i.Name, i.Version))
		}
	}
	return behind, live
}

func notInForce(version uint64, limit time.Duration, behind []string, err error) error {
	if err != nil {
		return fmt.Errorf("version %d is accepted, but the instances could not be read within %s: %w", version, limit, err)
	}
	if len(behind) == 0 {
		return fmt.Errorf("version %d is accepted, but no live instance was seen within %s", version, limit)
	}
	return fmt.Errorf("version %d is accepted, but after %s not in force on %s", version, limit, strings.Join(behind, ", "))
}
