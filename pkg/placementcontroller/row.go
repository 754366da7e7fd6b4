package placementcontroller

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/decision/placement"
	"github.com/cuminroute/cuminroute/pkg/dispatch"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
)

// Key is the key of the row that holds the desired placement. The row's revision is its version.
const Key = "placement/desired"

var namespace = errorx.NewNamespace("placing").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrConflict means that another instance changed the row.
var ErrConflict error = namespace.NewType("conflict").New("another instance changed the placement")

// document is the content of the row. Ranges take 60 bytes each, so that 7,000 targets take 420 KB.
type document struct {
	Assignments []assignment `json:"Assignments"`
}

type assignment struct {
	Target string      `json:"Target"`
	Model  string      `json:"Model"`
	Layers layer.Range `json:"Layers"`
}

func documentOf(plan []placement.Assignment) document {
	d := document{}
	for _, a := range plan {
		d.Assignments = append(d.Assignments, assignment{Target: a.Target, Model: a.Model, Layers: a.Layers})
	}
	return d
}

func (d document) assignments() []placement.Assignment {
	var plan []placement.Assignment
	for _, a := range d.Assignments {
		plan = append(plan, placement.Assignment{Target: a.Target, Model: a.Model, Layers: a.Layers})
	}
	return plan
}

// readDocument returns the row and its revision, and an empty document of revision 0 where there is none.
func readDocument(ctx context.Context, t dispatch.Table) (document, uint64, error) {
	row, err := t.Get(ctx, Key)
	if errors.Is(err, table.ErrNotFound) {
		return document{}, 0, nil
	}
	if err != nil {
		return document{}, 0, err
	}
	var d document
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return document{}, 0, err
	}
	return d, row.Revision, nil
}

// writeDocument replaces the row of that revision and returns the new revision.
func writeDocument(ctx context.Context, t dispatch.Table, revision uint64, d document) (uint64, error) {
	content, err := json.Marshal(d)
	if err != nil {
		return 0, err
	}
	result, err := t.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: Key, Revision: revision}},
		Writes:     []table.Write{{Key: Key, Value: slices.Clone(content)}},
	})
	if err != nil {
		return 0, err
	}
	if !result.Committed {
		return 0, ErrConflict
	}
	return result.Revision, nil
}
