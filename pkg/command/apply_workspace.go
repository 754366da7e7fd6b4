package command

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/cuminroute/cuminroute/pkg/configlog"
	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

const (
	// rebaseAttempts limits how often a change of one workspace is rebased on a newer version. At 16,000
	// changes a day, one is accepted every 5.4 s, and an attempt takes milliseconds.
	rebaseAttempts = 10
	// historyMargin is the number of versions that may be accepted between the two reads of the history.
	historyMargin = 10
	// maxRebaseDistance is the largest number of versions between the file's version and the newest one.
	// Together with historyMargin it is the longest history that the server returns.
	maxRebaseDistance = 1000 - historyMargin
)

// rebase applies a change of one workspace's document to a version newer than the one it is based on.
type rebase struct {
	client   *operator.Client
	document api.Document
	base     uint64 // base is the version that the file is based on.
	id       string
}

func newRebase(client *operator.Client, c *configuration.Configuration, workspace string, base uint64, id string) (*rebase, error) {
	name := configlog.WorkspacePrefix + workspace
	for _, d := range configlog.Split(c) {
		if d.Name == name {
			return &rebase{client: client, document: api.Document{Name: d.Name, Content: d.Content}, base: base, id: id}, nil
		}
	}
	return nil, fmt.Errorf("the file has no workspace %q", workspace)
}

// apply submits the change against the newest version, unless the document has changed since the base
// version. If another version is accepted in the meantime, it tries again.
func (r *rebase) apply(ctx context.Context) (api.Head, error) {
	var head api.Head
	var err error
	for range rebaseAttempts {
		var done bool
		head, done, err = r.attempt(ctx)
		if done {
			return head, err
		}
	}
	return head, err
}

// attempt submits the change once. done is false if the submission lost a race and can be retried.
func (r *rebase) attempt(ctx context.Context) (head api.Head, done bool, err error) {
	newest, applied, err := r.findNewest(ctx)
	if err != nil || applied.Version != 0 {
		return applied, true, err
	}
	head, err = r.client.Apply(ctx, api.Change{Expected: newest, ID: r.id, Documents: []api.Document{r.document}})
	var refusal *api.Error
	conflict := errors.As(err, &refusal) && refusal.Code == api.Conflict
	return head, !conflict, err
}

// findNewest returns the newest version, or a conflict error if the document has changed since the base
// version. If the change with this ID is already accepted, applied describes it.
func (r *rebase) findNewest(ctx context.Context) (version uint64, applied api.Head, err error) {
	changes, err := r.changesSinceBase(ctx)
	if err != nil || len(changes) == 0 {
		return r.base, api.Head{}, err
	}
	for _, c := range changes {
		if !r.changesDocument(c) {
			continue
		}
		if c.ID == r.id {
			return 0, api.Head{Version: c.Version, ID: c.ID, By: c.By, At: c.At}, nil
		}
		return 0, api.Head{}, &api.Error{Code: api.Conflict, Message: api.DescribeConflict(c), Conflict: &c}
	}
	return changes[0].Version, api.Head{}, nil
}

// changesSinceBase returns the changes accepted after the base version, newest first.
func (r *rebase) changesSinceBase(ctx context.Context) ([]api.Change, error) {
	latest, err := r.client.History(ctx, 1)
	if err != nil {
		return nil, err
	}
	newest := uint64(0)
	if len(latest) > 0 {
		newest = latest[0].Version
	}
	switch {
	case newest < r.base:
		return nil, fmt.Errorf("the file is based on version %d, but the newest is version %d", r.base, newest)
	case newest == r.base:
		return nil, nil
	case newest-r.base > maxRebaseDistance:
		return nil, fmt.Errorf("the file is based on version %d, too far behind version %d: start again from the output of show", r.base, newest)
	}
	changes, err := r.client.History(ctx, int(newest-r.base)+historyMargin)
	if err != nil {
		return nil, err
	}
	changes = slices.DeleteFunc(changes, func(c api.Change) bool { return c.Version <= r.base })
	if len(changes) == 0 || changes[len(changes)-1].Version != r.base+1 {
		return nil, fmt.Errorf("the changes since version %d are no longer kept: start again from the output of show", r.base)
	}
	return changes, nil
}

func (r *rebase) changesDocument(c api.Change) bool {
	return slices.ContainsFunc(c.Documents, func(d api.Document) bool { return d.Name == r.document.Name })
}
