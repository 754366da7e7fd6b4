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
	// rebaseAttempts bounds how often a change of one workspace moves to a newer version. At 16,000
	// changes a day, one comes each 5.4 s, and an attempt takes milliseconds.
	rebaseAttempts = 10
	// rebaseMargin is the number of versions that may come between two reads.
	rebaseMargin = 10
	// rebaseReach is the number of versions that may have come since the file was made: with the
	// margin, the longest history that the server returns.
	rebaseReach = 1000 - rebaseMargin
)

// rebase is a change of one workspace's document that was made from an earlier version.
type rebase struct {
	client   *operator.Client
	document api.Document
	from     uint64 // from is the version that the file was made from.
	id       string
}

func newRebase(client *operator.Client, c *configuration.Configuration, workspace string, from uint64, id string) (*rebase, error) {
	name := configlog.WorkspacePrefix + workspace
	for _, d := range configlog.Split(c) {
		if d.Name == name {
			return &rebase{client: client, document: api.Document{Name: d.Name, Content: d.Content}, from: from, id: id}, nil
		}
	}
	return nil, fmt.Errorf("the file has no workspace %q", workspace)
}

// apply makes the change on the newest version, unless another change of the same document came
// since the file was made. If yet another version comes first, it looks again.
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

// attempt returns done if another attempt cannot end differently.
func (r *rebase) attempt(ctx context.Context) (head api.Head, done bool, err error) {
	newest, mine, err := r.newest(ctx)
	if err != nil || mine.Version != 0 {
		return mine, true, err
	}
	head, err = r.client.Apply(ctx, api.Change{Expected: newest, ID: r.id, Documents: []api.Document{r.document}})
	var refusal *api.Error
	lost := errors.As(err, &refusal) && refusal.Code == api.Conflict
	return head, !lost, err
}

// newest returns the newest version if the document has not changed since the file was made. Mine
// is set if this change is already made.
func (r *rebase) newest(ctx context.Context) (version uint64, mine api.Head, err error) {
	since, err := r.since(ctx)
	if err != nil || len(since) == 0 {
		return r.from, api.Head{}, err
	}
	for _, c := range since {
		if !r.touches(c) {
			continue
		}
		if c.ID == r.id {
			return 0, api.Head{Version: c.Version, ID: c.ID, By: c.By, At: c.At}, nil
		}
		return 0, api.Head{}, &api.Error{Code: api.Conflict, Message: api.DescribeConflict(c), Conflict: &c}
	}
	return since[0].Version, api.Head{}, nil
}

// since returns the changes since the file was made, the newest first.
func (r *rebase) since(ctx context.Context) ([]api.Change, error) {
	last, err := r.client.History(ctx, 1)
	if err != nil {
		return nil, err
	}
	newest := uint64(0)
	if len(last) > 0 {
		newest = last[0].Version
	}
	switch {
	case newest < r.from:
		return nil, fmt.Errorf("the file was made from version %d, but the newest is version %d", r.from, newest)
	case newest == r.from:
		return nil, nil
	case newest-r.from > rebaseReach:
		return nil, fmt.Errorf("the file was made from version %d, too long before version %d: start again from show", r.from, newest)
	}
	changes, err := r.client.History(ctx, int(newest-r.from)+rebaseMargin)
	if err != nil {
		return nil, err
	}
	changes = slices.DeleteFunc(changes, func(c api.Change) bool { return c.Version <= r.from })
	if len(changes) == 0 || changes[len(changes)-1].Version != r.from+1 {
		return nil, fmt.Errorf("the changes since version %d are not kept any more: start again from show", r.from)
	}
	return changes, nil
}

func (r *rebase) touches(c api.Change) bool {
	return slices.ContainsFunc(c.Documents, func(d api.Document) bool { return d.Name == r.document.Name })
}
