package configlog

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
)

const (
	headKey         = "configuration/head"
	baseKey         = "configuration/base"
	changesPrefix   = "configuration/changes/"
	idsPrefix       = "configuration/ids/"
	documentsPrefix = "configuration/documents/"
	snapshotsPrefix = "configuration/snapshots/"
)

// base is the value of the base row.
type base struct {
	Version uint64 `json:"Version"`
	Object  string `json:"Object"`
}

// identity is the value of the row of a change ID.
type identity struct {
	Version uint64 `json:"Version"`
	Digest  string `json:"Digest"` // Digest is a hash of the change's documents.
}

// changeKey pads the version to 20 digits, so that keys sort as numbers do.
func changeKey(version uint64) string {
	return fmt.Sprintf("%s%020d", changesPrefix, version)
}

func snapshotName(version uint64) string {
	return fmt.Sprintf("%s%020d", snapshotsPrefix, version)
}

func idKey(id string) string {
	return idsPrefix + url.PathEscape(id)
}

func digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

func reversed(changes []Change) []Change {
	slices.Reverse(changes)
	return changes
}

// store moves the documents of a large change to the object store and returns the change as its row
// holds it. The object's name has the change ID, so that no other change refers to it and a
// repeated store writes the same object again.
func (l *Log) store(ctx context.Context, c Change) (Change, error) {
	content := encode(c.Documents)
	if len(content) <= inlineLimit {
		return c, nil
	}
	c.Object = documentsPrefix + digest([]byte(c.ID)) + "/" + digest(content)
	if err := l.objects.Put(ctx, c.Object, content); err != nil {
		return c, fmt.Errorf("%w: documents of change %s: %w", ErrUnavailable, c.ID, err)
	}
	c.Documents = nil
	return c, nil
}

// load returns the change with its documents.
func (l *Log) load(ctx context.Context, c Change) (Change, error) {
	if c.Object == "" {
		return c, nil
	}
	content, err := l.objects.Get(ctx, c.Object)
	if err == nil {
		err = json.Unmarshal(content, &c.Documents)
	}
	if err != nil {
		return c, fmt.Errorf("%w: documents of version %d: %w", ErrUnavailable, c.Version, err)
	}
	c.Object = ""
	return c, nil
}

// noObjects stands for the object store where none is set.
type noObjects struct{}

var errNoObjects = fmt.Errorf("%w: no object store is set", ErrUnavailable)

func (noObjects) Put(context.Context, string, []byte) error { return errNoObjects }

func (noObjects) Get(context.Context, string) ([]byte, error) { return nil, errNoObjects }

func (noObjects) Delete(context.Context, string) error { return errNoObjects }
