package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

// versionPollInterval is the time between two requests for the list of instances. A version reaches every
// instance within seconds.
const versionPollInterval = 200 * time.Millisecond

// waitForVersion returns nil when the active configuration of every live instance is at least version. After
// limit, or when ctx is done, it returns an error that names the outdated instances. A failed request for
// the instances is repeated, since the change itself is already accepted.
func (e *Environment) waitForVersion(ctx context.Context, client *operator.Client, version uint64, limit time.Duration) error {
	started := e.Now()
	for {
		instances, err := client.Instances(ctx)
		outdated, live := outdatedInstances(instances, version)
		if err == nil && live > 0 && len(outdated) == 0 {
			_, _ = fmt.Fprintf(e.Stderr, "version %d is in force on %d live instances after %s\n", version, live, e.Now().Sub(started).Round(time.Millisecond))
			return nil
		}
		if ctx.Err() != nil || e.Now().Sub(started) >= limit {
			return waitTimeoutError(version, limit, outdated, err)
		}
		e.Sleep(ctx, versionPollInterval)
	}
}

func outdatedInstances(instances []api.Instance, version uint64) (outdated []string, live int) {
	for _, i := range instances {
		if !i.Live {
			continue
		}
		live++
		if i.Version < version {
			outdated = append(outdated, fmt.Sprintf("%s (version %d)", i.Name, i.Version))
		}
	}
	return outdated, live
}

func waitTimeoutError(version uint64, limit time.Duration, outdated []string, err error) error {
	if err != nil {
		return fmt.Errorf("version %d is accepted, but the list of instances could not be fetched within %s: %w", version, limit, err)
	}
	if len(outdated) == 0 {
		return fmt.Errorf("version %d is accepted, but no live instance was seen within %s", version, limit)
	}
	return fmt.Errorf("version %d is accepted, but after %s not in force on %s", version, limit, strings.Join(outdated, ", "))
}
