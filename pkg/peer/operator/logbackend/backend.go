// Package logbackend implements the configuration requests of the operator API on a configuration log.
//
// Usage:
//
//	log := configlog.New(tableClient, configlog.WithObjectStore(objectClient))
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

// ConfigLog is the part of *configlog.Log that the backend uses.
type ConfigLog interface {
	Head(ctx context.Context) (configlog.Head, error)
	Apply(ctx context.Context, c configlog.Change) (configlog.Head, error)
	Changes(ctx context.Context, after uint64) ([]configlog.Change, error)
	Snapshot(ctx context.Context) (*configuration.Configuration, error)
	History(ctx context.Context, limit int) ([]configlog.Change, error)
	Rollback(ctx context.Context, to, expected uint64, id, by string) (configlog.Head, error)
}

// Backend implements operator.ConfigLog on a configuration log.
type Backend struct {
	log ConfigLog
}

var _ operator.ConfigLog = (*Backend)(nil)

// New returns a backend that uses log.
func New(log ConfigLog) *Backend {
	return &Backend{log: log}
}

// Current returns the newest configuration and its head. If a change is applied between the reads of the
// configuration and of the head, the returned head has only the version.
func (b *Backend) Current(ctx context.Context) (api.Current, error) {
	c, err := b.log.Snapshot(ctx)
	if err != nil {
		return api.Current{}, translateError(err)
	}
	head, err := b.log.Head(ctx)
	if err != nil {
		return api.Current{}, translateError(err)
	}
	if head.Version != c.Version {
		head = configlog.Head{Version: c.Version}
	}
	return api.Current{Head: toHead(head), Configuration: *c}, nil
}

// Preview returns the newest version and the configuration that would result from the change.
func (b *Backend) Preview(ctx context.Context, change api.Change) (uint64, *configuration.Configuration, error) {
	base, err := b.log.Snapshot(ctx)
	if err != nil {
		return 0, nil, translateError(err)
	}
	if change.Configuration != nil {
		return base.Version, change.Configuration, nil
	}
	after, err := configlog.Join(mergeDocuments(configlog.Split(base), toDocuments(change.Documents)))
	return base.Version, after, translateError(err)
}

// mergeDocuments returns documents with those in changed added, which replace documents of the same name.
func mergeDocuments(documents, changed []configlog.Document) []configlog.Document {
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

// Apply applies the change. Of a full configuration, it writes only the documents that differ.
func (b *Backend) Apply(ctx context.Context, change api.Change) (api.Head, error) {
	documents := toDocuments(change.Documents)
	if change.Configuration != nil {
		base, err := b.log.Snapshot(ctx)
		if err != nil {
			return api.Head{}, translateError(err)
		}
		if base.Version > change.Expected {
			return b.resolveStale(ctx, change)
		}
		documents = diffDocuments(configlog.Split(base), configlog.Split(change.Configuration))
	}
	head, err := b.log.Apply(ctx, configlog.Change{Expected: change.Expected, ID: change.ID, By: change.By, Documents: documents})
	return toHead(head), translateError(err)
}

// diffDocuments returns the changed documents that turn base into wanted.
func diffDocuments(base, wanted []configlog.Document) []configlog.Document {
	before := contentsByName(base)
	var documents []configlog.Document
	for _, d := range wanted {
		if content, found := before[d.Name]; !found || !bytes.Equal(content, d.Content) {
			documents = append(documents, d)
		}
	}
	after := contentsByName(wanted)
	for _, d := range base {
		if _, found := after[d.Name]; !found {
			documents = append(documents, configlog.Document{Name: d.Name, Deleted: true})
		}
	}
	return documents
}

func contentsByName(documents []configlog.Document) map[string][]byte {
	byName := make(map[string][]byte, len(documents))
	for _, d := range documents {
		byName[d.Name] = d.Content
	}
	return byName
}

// resolveStale returns the result of a full configuration that is based on a version that is no longer the
// newest: the head that the change created, or a conflict. A change based on version n can only have become
// version n+1, so version n+1 is either this change or the conflicting one. If version n+1 has the ID of
// this change, its documents show whether the ID was used for other content.
func (b *Backend) resolveStale(ctx context.Context, change api.Change) (api.Head, error) {
	changes, err := b.log.Changes(ctx, change.Expected)
	if errors.Is(err, configlog.ErrCompacted) || (err == nil && len(changes) == 0) {
		return api.Head{}, b.compactedConflict(ctx)
	}
	if err != nil {
		return api.Head{}, translateError(err)
	}
	first := changes[0]
	if first.ID != change.ID {
		return api.Head{}, &operator.ConflictError{ConflictingChange: toChange(first)}
	}
	if !matchesChange(configlog.Split(change.Configuration), first.Documents) {
		return api.Head{}, newIDReusedError()
	}
	return api.Head{Version: first.Version, ID: first.ID, By: first.By, At: first.At}, nil
}

// compactedConflict returns a conflict with the head, since the log no longer has the conflicting change.
func (b *Backend) compactedConflict(ctx context.Context) error {
	head, err := b.log.Head(ctx)
	if err != nil {
		return translateError(err)
	}
	return &operator.ConflictError{ConflictingChange: api.Change{Version: head.Version, ID: head.ID, By: head.By, At: head.At}}
}

// matchesChange reports whether documents contain all documents that a change wrote, with the same content, and none
// that the change deleted.
func matchesChange(documents, changed []configlog.Document) bool {
	byName := contentsByName(documents)
	for _, d := range changed {
		content, found := byName[d.Name]
		if found == d.Deleted || !bytes.Equal(content, d.Content) {
			return false
		}
	}
	return true
}

// History returns at most limit changes, newest first.
func (b *Backend) History(ctx context.Context, limit int) ([]api.Change, error) {
	changes, err := b.log.History(ctx, limit)
	if err != nil {
		return nil, translateError(err)
	}
	history := make([]api.Change, 0, len(changes))
	for _, c := range changes {
		history = append(history, toChange(c))
	}
	return history, nil
}

// Rollback creates a new version with the content of an earlier one.
func (b *Backend) Rollback(ctx context.Context, r api.Rollback) (api.Head, error) {
	head, err := b.log.Rollback(ctx, r.To, r.Expected, r.ID, r.By)
	return toHead(head), translateError(err)
}

// newIDReusedError returns the refusal of a change whose ID was used for other content.
func newIDReusedError() error {
	return &api.Error{Status: http.StatusBadRequest, Code: api.Malformed, Message: "the change ID was used for another change; nothing was changed"}
}

// translateError converts an error of the configuration log to the corresponding error of package operator or api.
func translateError(err error) error {
	var conflict *configlog.Conflict
	var noVersion *configlog.VersionNotFound
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &operator.ConflictError{ConflictingChange: toChange(conflict.ConflictingChange)}
	case errors.Is(err, configlog.ErrUnknown):
		return fmt.Errorf("%w: %w", operator.ErrUnknown, err)
	case errors.Is(err, configlog.ErrUnavailable):
		return fmt.Errorf("%w: %w", operator.ErrUnavailable, err)
	case errors.Is(err, configlog.ErrCompacted), errors.As(err, &noVersion):
		return fmt.Errorf("%w: %w", operator.ErrNotFound, err)
	case errors.Is(err, configlog.ErrIDReused):
		return newIDReusedError()
	default:
		return err
	}
}
