package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// Prefix is the prefix of all claim rows in the table.
const Prefix = "claims/"

// record is the value of a claim row.
type record struct {
	ID        string    `json:"ID"`
	Holder    string    `json:"Holder"`
	At        time.Time `json:"At"`
	Workspace string    `json:"Workspace"`
	Key       string    `json:"Key"`
	Content   []byte    `json:"Content"`
	State     State     `json:"State"` // State is Held or Finished.
	Response  *Response `json:"Answer,omitempty"`
}

// rowKey returns the key of the row for k. The hash keeps any client's key within the table's limits and distributes
// the rows evenly over the key space.
func rowKey(k Key) string {
	h := sha256.New()
	h.Write([]byte(k.Workspace))
	h.Write([]byte{0})
	h.Write([]byte(k.Key))
	return Prefix + hex.EncodeToString(h.Sum(nil))
}

func newRecord(k Key, id, holder string, at time.Time) record {
	return record{
		ID: id, Holder: holder, At: at.UTC(),
		Workspace: k.Workspace, Key: k.Key, Content: k.Content[:], State: Held,
	}
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		// The fields are strings, bytes and a UTC time, which can always be encoded.
		panic(err)
	}
	return value
}

// parseRecord returns the record of a row. A row that cannot be decoded has an empty ID and counts as held, so that its
// request never runs again.
func parseRecord(value []byte) record {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{State: Held, At: time.Now()}
	}
	return r
}

func (r record) expired(now time.Time, retention time.Duration) bool {
	return now.Sub(r.At) > retention
}

func (r record) toClaim(k Key, state State, revision uint64) Claim {
	claim := Claim{ID: r.ID, State: state, Key: k, Revision: revision, Holder: r.Holder, At: r.At}
	if state == Finished && r.Response != nil {
		claim.Response = *r.Response
	}
	return claim
}
