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

// baseRow is the value of the base row, which refers to the last snapshot. The snapshot includes the changes up to
// Version.
type baseRow struct {
	Version uint64 `json:"Version"`
	Object  string `json:"Object"`
}

// idRow is the value of the row of a change ID.
type idRow struct {
	Version uint64 `json:"Version"`
	Digest  string `json:"Digest"` // Digest is a hash of the change's documents.
}

// changeKey pads the version to 20 digits, so that the keys sort numerically.
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

// reversed reverses the changes in place and returns them.
func reversed(changes []Change) []Change {
	slices.Reverse(changes)
	return changes
}

// storeDocuments moves the documents of a large change to the object store and returns the change as its row holds it.
// The object's name contains a hash of the change ID, so that no other change refers to it and a retry writes the same
// object again.
func (l *Log) storeDocuments(ctx context.Context, c Change) (Change, error) {
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

// loadDocuments returns the change with its documents, which it reads from the object store if the row refers to it.
func (l *Log) loadDocuments(ctx context.Context, c Change) (Change, error) {
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

// noObjectStore is used if no object store is set. All its methods fail.
type noObjectStore struct{}

var errNoObjectStore = fmt.Errorf("%w: no object store is set", ErrUnavailable)

func (noObjectStore) Put(context.Context, string, []byte) error { return errNoObjectStore }

func (noObjectStore) Get(context.Context, string) ([]byte, error) { return nil, errNoObjectStore }

func (noObjectStore) Delete(context.Context, string) error { return errNoObjectStore }
