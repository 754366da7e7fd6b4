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

// Key is the key of the row that contains the desired placement. The row's revision serves as its version.
const Key = "placement/desired"

var namespace = errorx.NewNamespace("placing").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrConflict means that the row no longer had the expected revision, normally because another instance
// changed it.
var ErrConflict error = namespace.NewType("conflict").New("another instance changed the placement")

// rowContent is the content of the row. An assignment takes 60 bytes, so 7,000 targets take 420 KB.
type rowContent struct {
	Assignments []assignment `json:"Assignments"`
}

type assignment struct {
	Target string      `json:"Target"`
	Model  string      `json:"Model"`
	Layers layer.Range `json:"Layers"`
}

func newRowContent(plan []placement.Assignment) rowContent {
	d := rowContent{}
	for _, a := range plan {
		d.Assignments = append(d.Assignments, assignment{Target: a.Target, Model: a.Model, Layers: a.Layers})
	}
	return d
}

func (d rowContent) assignments() []placement.Assignment {
	var plan []placement.Assignment
	for _, a := range d.Assignments {
		plan = append(plan, placement.Assignment{Target: a.Target, Model: a.Model, Layers: a.Layers})
	}
	return plan
}

// readRow returns the row's content and revision, and empty content with revision 0 if there is no row.
func readRow(ctx context.Context, t dispatch.Table) (rowContent, uint64, error) {
	row, err := t.Get(ctx, Key)
	if errors.Is(err, table.ErrNotFound) {
		return rowContent{}, 0, nil
	}
	if err != nil {
		return rowContent{}, 0, err
	}
	var d rowContent
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return rowContent{}, 0, err
	}
	return d, row.Revision, nil
}

// writeRow replaces the row if it still has the revision, and returns the new revision.
func writeRow(ctx context.Context, t dispatch.Table, revision uint64, d rowContent) (uint64, error) {
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
