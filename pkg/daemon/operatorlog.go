package daemon

import (
	"context"
	"errors"

	"github.com/cuminroute/cuminroute/pkg/configlog"
	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

// operatorLog lets operators read and change the configuration log.
type operatorLog struct {
	log *configlog.Log
}

// Current implements operator.Log.
func (o operatorLog) Current(ctx context.Context) (api.Current, error) {
	head, err := o.log.Head(ctx)
	if err != nil {
		return api.Current{}, operatorError(err)
	}
	if head.Version == 0 {
		return api.Current{}, nil
	}
	c, err := o.log.Snapshot(ctx)
	if err != nil {
		return api.Current{}, operatorError(err)
	}
	return api.Current{Head: apiHead(head), Configuration: *c}, nil
}

// Preview implements operator.Log.
func (o operatorLog) Preview(ctx context.Context, change api.Change) (uint64, *configuration.Configuration, error) {
	head, err := o.log.Head(ctx)
	if err != nil {
		return 0, nil, operatorError(err)
	}
	documents := make(map[string]configlog.Document)
	if head.Version > 0 {
		before, err := o.log.Snapshot(ctx)
		if err != nil {
			return 0, nil, operatorError(err)
		}
		for _, d := range configlog.Split(before) {
			documents[d.Name] = d
		}
	}
	after, err := joinChanged(documents, changed(documents, change))
	return head.Version, after, err
}

func joinChanged(documents map[string]configlog.Document, change []configlog.Document) (*configuration.Configuration, error) {
	for _, d := range change {
		documents[d.Name] = d
	}
	all := make([]configlog.Document, 0, len(documents))
	for _, d := range documents {
		all = append(all, d)
	}
	return configlog.Join(all)
}

// changed returns the documents of a change. A change to the whole configuration becomes those
// documents that differ from the ones before, and deletions of those it no longer has.
func changed(before map[string]configlog.Document, change api.Change) []configlog.Document {
	documents := make([]configlog.Document, 0, len(change.Documents))
	for _, d := range change.Documents {
		documents = append(documents, configlog.Document{Name: d.Name, Content: d.Content, Deleted: d.Deleted})
	}
	if change.Configuration == nil {
		return documents
	}
	kept := make(map[string]bool)
	for _, d := range configlog.Split(change.Configuration) {
		kept[d.Name] = true
		if string(before[d.Name].Content) != string(d.Content) {
			documents = append(documents, d)
		}
	}
	for name := range before {
		if !kept[name] {
			documents = append(documents, configlog.Document{Name: name, Deleted: true})
		}
	}
	return documents
}

// Apply implements operator.Log.
func (o operatorLog) Apply(ctx context.Context, change api.Change) (api.Head, error) {
	before := make(map[string]configlog.Document)
	if change.Configuration != nil && change.Expected > 0 {
		current, err := o.log.Snapshot(ctx)
		if err != nil {
			return api.Head{}, operatorError(err)
		}
		// A newer version than expected ends in a conflict, so the difference to it is not used.
		for _, d := range configlog.Split(current) {
			before[d.Name] = d
		}
	}
	head, err := o.log.Apply(ctx, configlog.Change{
		Expected: change.Expected, ID: change.ID, By: change.By, Documents: changed(before, change),
	})
	if err != nil {
		return api.Head{}, operatorError(err)
	}
	return apiHead(head), nil
}

// History implements operator.Log.
func (o operatorLog) History(ctx context.Context, limit int) ([]api.Change, error) {
	changes, err := o.log.History(ctx, limit)
	if err != nil {
		return nil, operatorError(err)
	}
	listed := make([]api.Change, 0, len(changes))
	for _, c := range changes {
		listed = append(listed, apiChange(c))
	}
	return listed, nil
}

// Rollback implements operator.Log.
func (o operatorLog) Rollback(ctx context.Context, r api.Rollback) (api.Head, error) {
	head, err := o.log.Rollback(ctx, r.To, r.Expected, r.ID, r.By)
	if err != nil {
		return api.Head{}, operatorError(err)
	}
	return apiHead(head), nil
}

func apiHead(h configlog.Head) api.Head {
	return api.Head{Version: h.Version, ID: h.ID, By: h.By, At: h.At}
}

func apiChange(c configlog.Change) api.Change {
	change := api.Change{Version: c.Version, Expected: c.Expected, ID: c.ID, By: c.By, At: c.At}
	for _, d := range c.Documents {
		change.Documents = append(change.Documents, api.Document{Name: d.Name, Content: d.Content, Deleted: d.Deleted})
	}
	return change
}

// operatorError turns an error of the log into one that the operator API knows.
func operatorError(err error) error {
	var conflict *configlog.Conflict
	var missing *configlog.NoVersion
	switch {
	case errors.As(err, &conflict):
		return &operator.ConflictError{Other: apiChange(conflict.Other)}
	case errors.As(err, &missing), errors.Is(err, configlog.ErrCompacted):
		return operator.ErrNotFound
	case errors.Is(err, configlog.ErrUnavailable):
		return operator.ErrUnavailable
	case errors.Is(err, configlog.ErrUnknown):
		return operator.ErrUnknown
	default:
		return err
	}
}
