package configlog

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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

// store moves the content of large documents to the object store and returns the documents as
// the change row holds them. A repeated store writes the same objects again.
func (l *Log) store(ctx context.Context, documents []Document) ([]Document, error) {
	stored := slices.Clone(documents)
	for n, d := range stored {
		if len(d.Content) <= inlineLimit {
			continue
		}
		name := documentsPrefix + digest(d.Content)
		if err := l.objects.Put(ctx, name, d.Content); err != nil {
			return nil, fmt.Errorf("%w: document %s: %w", ErrUnavailable, d.Name, err)
		}
		stored[n] = Document{Name: d.Name, Object: name}
	}
	return stored, nil
}

// load fills in the content of documents that are kept in the object store.
func (l *Log) load(ctx context.Context, documents []Document) error {
	for n, d := range documents {
		if d.Object == "" {
			continue
		}
		content, err := l.objects.Get(ctx, d.Object)
		if err != nil {
			return fmt.Errorf("%w: document %s: %w", ErrUnavailable, d.Name, err)
		}
		documents[n].Content, documents[n].Object = content, ""
	}
	return nil
}

// noObjects stands for the object store where none is set.
type noObjects struct{}

var errNoObjects = fmt.Errorf("%w: no object store is set", ErrUnavailable)

func (noObjects) Put(context.Context, string, []byte) error { return errNoObjects }

func (noObjects) Get(context.Context, string) ([]byte, error) { return nil, errNoObjects }

func (noObjects) Delete(context.Context, string) error { return errNoObjects }
