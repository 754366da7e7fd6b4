package branch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/branch"
	"github.com/cuminroute/cuminroute/pkg/configuration"
)

// TestExplain guards against an explanation whose rule or value is not the effective one.
func TestExplain(t *testing.T) {
	tests := []struct {
		fleet, workspace, branch, at, name, want string
		source                                   branch.Source
		line                                     int
	}{
		{"krpanka", "ljubljana", "center", "2026-03-02T06:00:00+01:00", "Open", "true", branch.BranchRules, 0},
		{"krpanka", "ljubljana", "bezigrad", "2026-03-02T06:00:00+01:00", "Open", "false", branch.HeadOffice, 9},
		{"krpanka", "ljubljana", "bezigrad", "2026-03-02T06:00:00+01:00", "Priority", "Batch", branch.OpeningHours, 9},
		{"krpanka", "ljubljana", "bezigrad", "2026-03-02T09:00:00+01:00", "Priority", "Interactive", branch.HeadOffice, 20},
		{"krpanka", "ljubljana", "trznica", "2026-03-02T09:00:00+01:00", "Open", "false", branch.BranchRules, 0},
		{"krpanka", "ljubljana", "trznica", "2026-03-03T09:00:00+01:00", "Open", "true", branch.HeadOffice, 9},
		{"krpanka", "koper", "luka", "2026-03-03T13:00:00+01:00", "Open", "false", branch.Workspace, 0},
		{"krpanka", "koper", "center", "2026-03-03T13:00:00+01:00", "Open", "true", branch.BranchRules, 0},
		{"krpanka", "maribor", "tabor", "2026-03-03T13:00:00+01:00", "Request orders/PhoneReorder Allowed", "true", branch.BranchRules, 0},
		{"krpanka", "maribor", "", "2026-03-03T13:00:00+01:00", "Request orders/PhoneReorder Allowed", "false", branch.HeadOffice, 19},
		{"krpanka", "kamnik", "center", "2026-03-03T13:00:00+01:00", "Request stock/Lookup AtMostOnce", "true", branch.Workspace, 0},
		{"krpanka", "ptuj", "trznica", "2026-03-03T13:00:00+01:00", "NotIdempotent", "none", branch.Default, 0},
		{"braci-etnee", "bronte-kilns", "first-crew", "2026-03-03T23:00:00+01:00", "Pipeline burn-schedule Priority", "Schedule", branch.Pipeline, 0},
		{"braci-etnee", "catania-vendors", "porto", "2026-03-03T23:00:00+01:00", "Pipeline vendor-chat Priority", "Batch", branch.OpeningHours, 0},
		{"braci-etnee", "acireale-vendors", "stazione", "2026-03-03T09:00:00+01:00", "MarketDays", "every day", branch.BranchRules, 0},
	}
	for _, test := range tests {
		t.Run(test.workspace+" "+test.branch+" "+test.name, func(t *testing.T) {
			c, positions, err := configuration.Load("../../examples/" + test.fleet + "/configuration.yaml")
			qt.Assert(t, err, qt.IsNil)
			b, err := branch.New(c, test.workspace, test.branch)
			qt.Assert(t, err, qt.IsNil)
			at, err := time.Parse(time.RFC3339, test.at)
			qt.Assert(t, err, qt.IsNil)
			for _, v := range b.Explain(positions, at) {
				if v.Name != test.name {
					continue
				}
				qt.Assert(t, v.Value, qt.Equals, test.want)
				qt.Assert(t, v.Source, qt.Equals, test.source)
				qt.Assert(t, v.Place.Line > 0, qt.Equals, test.source != branch.Default)
				if test.line > 0 {
					qt.Assert(t, v.Place.Line, qt.Equals, test.line)
				}
				return
			}
			t.Fatalf("no value %s", test.name)
		})
	}
}
