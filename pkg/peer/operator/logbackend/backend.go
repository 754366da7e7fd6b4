// Package logbackend serves the operator API from the configuration log.
//
// Usage:
//
//	log := configlog.New(tableClient, configlog.WithObjects(objectClient))
//	server := operator.NewServer(logbackend.New(log), fleet, drains, operators)
package logbackend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/cuminroute/cuminroute/pkg/configlog"
	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

// ConfigLog is what the backend needs of the configuration log.
type ConfigLog interface {
	Head(ctx context.Context) (configlog.Head, error)
	Apply(ctx context.Context, c configlog.Change) (configlog.Head, error)
	Changes(ctx context.Context, after uint64) ([]configlog.Change, error)
	Snapshot(ctx context.Context) (*configuration.Configuration, error)
	History(ctx context.Context, limit int) ([]configlog.Change, error)
	Rollback(ctx context.Context, to, expected uint64, id, by string) (configlog.Head, error)
}

// Backend is an operator.ConfigLog on a configuration log.
type Backend struct {
	log ConfigLog
}

var _ operator.ConfigLog = (*Backend)(nil)

// New returns a backend on log.
func New(log ConfigLog) *Backend {
	return &Backend{log: log}
}

// Current returns the newest configuration with its head. If a change lands between the two reads,
// only the version of the head is known.
func (j *Backend) Current(ctx context.Context) (api.Current, error) {
	c, err := j.log.Snapshot(ctx)
	if err != nil {
		return api.Current{}, translate(err)
	}
	head, err := j.log.Head(ctx)
	if err != nil {
		return api.Current{}, translate(err)
	}
	if head.Version != c.Version {
		head = configlog.Head{Version: c.Version}
	}
	return api.Current{Head: headOf(head), Configuration: *c}, nil
}

// Preview returns the newest version and the configuration that the change would make of it.
func (j *Backend) Preview(ctx context.Context, change api.Change) (uint64, *configuration.Configuration, error) {
	base, err := j.log.Snapshot(ctx)
	if err != nil {
		return 0, nil, translate(err)
	}
	if change.Configuration != nil {
		return base.Version, change.Configuration, nil
	}
	after, err := configlog.Join(overlaid(configlog.Split(base), documentsOf(change.Documents)))
	return base.Version, after, translate(err)
}

// overlaid returns documents with those of the same name replaced by changed.
func overlaid(documents, changed []configlog.Document) []configlog.Document {
	replaced := map[string]bool{}
	for _, d := range changed {
		replaced[d.Name] = true
	}
	var result []configlog.Document
	for _, d := range documents {
		if !replaced[d.Name] {
			result = append(result, d)
		}
	}
	return append(result, changed...)
}

// Apply makes the change. A whole configuration is written as the documents that differ.
func (j *Backend) Apply(ctx context.Context, change api.Change) (api.Head, error) {
	documents := documentsOf(change.Documents)
	if change.Configuration != nil {
		base, err := j.log.Snapshot(ctx)
		if err != nil {
			return api.Head{}, translate(err)
		}
		if base.Version > change.Expected {
			return j.resolve(ctx, change)
		}
		documents = difference(configlog.Split(base), configlog.Split(change.Configuration))
	}
	head, err := j.log.Apply(ctx, configlog.Change{Expected: change.Expected, ID: change.ID, By: change.By, Documents: documents})
	return headOf(head), translate(err)
}

// difference returns the documents that turn base into wanted.
func difference(base, wanted []configlog.Document) []configlog.Document {
	before := contents(base)
	var documents []configlog.Document
	for _, d := range wanted {
		if content, found := before[d.Name]; !found || !bytes.Equal(content, d.Content) {
			documents = append(documents, d)
		}
	}
	after := contents(wanted)
	for _, d := range base {
		if _, found := after[d.Name]; !found {
			documents = append(documents, configlog.Document{Name: d.Name, Deleted: true})
		}
	}
	return documents
}

func contents(documents []configlog.Document) map[string][]byte {
	byName := make(map[string][]byte, len(documents))
	for _, d := range documents {
		byName[d.Name] = d.Content
	}
	return byName
}

// resolve answers a whole configuration made from a version that is no longer the newest. A change
// made from version n can only have become version n+1, so that version either is this change or
// the one that came first. The documents that it replaced tell an ID that is used for other content.
func (j *Backend) resolve(ctx context.Context, change api.Change) (api.Head, error) {
	changes, err := j.log.Changes(ctx, change.Expected)
	if errors.Is(err, configlog.ErrCompacted) || (err == nil && len(changes) == 0) {
		return api.Head{}, j.compacted(ctx)
	}
	if err != nil {
		return api.Head{}, translate(err)
	}
	first := changes[0]
	if first.ID != change.ID {
		return api.Head{}, &operator.ConflictError{ConflictingChange: changeOf(first)}
	}
	if !holds(configlog.Split(change.Configuration), first.Documents) {
		return api.Head{}, reused()
	}
	return api.Head{Version: first.Version, ID: first.ID, By: first.By, At: first.At}, nil
}

// compacted names the head where the change that came first is no longer kept.
func (j *Backend) compacted(ctx context.Context) error {
	head, err := j.log.Head(ctx)
	if err != nil {
		return translate(err)
	}
	return &operator.ConflictError{ConflictingChange: api.Change{Version: head.Version, ID: head.ID, By: head.By, At: head.At}}
}

// holds reports whether the documents agree with what a change replaced and deleted.
func holds(documents, changed []configlog.Document) bool {
	byName := contents(documents)
	for _, d := range changed {
		content, found := byName[d.Name]
		if found == d.Deleted || !bytes.Equal(content, d.Content) {
			return false
		}
	}
	return true
}

// History returns at most limit changes, the newest first.
func (j *Backend) History(ctx context.Context, limit int) ([]api.Change, error) {
	changes, err := j.log.History(ctx, limit)
	if err != nil {
		return nil, translate(err)
	}
	history := make([]api.Change, 0, len(changes))
	for _, c := range changes {
		history = append(history, changeOf(c))
	}
	return history, nil
}

// Rollback makes the content of an earlier version the newest version.
func (j *Backend) Rollback(ctx context.Context, r api.Rollback) (api.Head, error) {
	head, err := j.log.Rollback(ctx, r.To, r.Expected, r.ID, r.By)
	return headOf(head), translate(err)
}

func reused() error {
	return &api.Error{Status: http.StatusBadRequest, Code: api.Malformed, Message: "the change ID was used for another change; nothing was changed"}
}

// translate returns the error that the operator server has a code for.
func translate(err error) error {
	var conflict *configlog.Conflict
	var noVersion *configlog.VersionNotFound
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &operator.ConflictError{ConflictingChange: changeOf(conflict.ConflictingChange)}
	case errors.Is(err, configlog.ErrUnknown):
		return fmt.Errorf("%w: %w", operator.ErrUnknown, err)
	case errors.Is(err, configlog.ErrUnavailable):
		return fmt.Errorf("%w: %w", operator.ErrUnavailable, err)
	case errors.Is(err, configlog.ErrCompacted), errors.As(err, &noVersion):
		return fmt.Errorf("%w: %w", operator.ErrNotFound, err)
	case errors.Is(err, configlog.ErrIDReused):
		return reused()
	default:
		return err
	}
}
