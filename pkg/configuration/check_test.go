package configuration_test

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/finding"
)

// valid sets the fields that TestCheck makes invalid, one line at a time.
var valid = `Version: 7
HeadOffice:
  Fleet: Test
  TimeZone: Europe/Ljubljana
  Operators:
    - Name: mara
      Hash: ` + configuration.HashKey("operator") + `
  Rules:
    OpeningHours:
      Open: 08:00
      Close: "18:00"
    Timeout: 30s
    NotIdempotent: [orders/Reorder]
  Models:
    - Name: darning
      Version: "3"
      Layers: 32
  Services:
    - Name: orders
      Requests:
        - Name: Reorder
          Method: POST
          Path: /reorders
          Idempotent: false
          Timeout: 5s
        - Name: Other
          Method: POST
          Path: /other/*
          Idempotent: true
Workspaces:
  - Name: large
    Weight: 4
    Keys:
      - Name: all
        Hash: ` + configuration.HashKey("large") + `
    Branches:
      - Name: market
        Keys:
          - Name: till
            Hash: ` + configuration.HashKey("market") + `
        Rules:
          MarketDays: [Tuesday, Saturday]
          PhoneOrders: true
          Priority: Schedule
    Pipelines:
      - Name: stitch-guide
        Model: darning
        Priority: Batch
        Timeout: 20s
    Services: [orders]
`

// TestCheck guards against an invalid configuration that is accepted, and against a finding at the wrong position.
func TestCheck(t *testing.T) {
	tests := []struct{ name, old, with, position, rule string }{
		{"unknown field", "Fleet: Test", "Flet: Test", "c.yaml:3:3", "not known"},
		{"missing fleet", "Fleet: Test", "Fleet: \"\"", "c.yaml:3:10", "needs a name"},
		{"time zone", "Europe/Ljubljana", "Local", "c.yaml:4:13", "time zone"},
		{"no operator", "Operators:\n    - Name: mara\n      Hash: " + configuration.HashKey("operator"), "Operators: []", "c.yaml:5:3", "Without an operator"},
		{"short hash", configuration.HashKey("operator"), "sha256:12", "c.yaml:7:13", "malformed"},
		{"upper-case hash", configuration.HashKey("operator"), "sha256:" + strings.Repeat("AB", 32), "c.yaml:7:13", "malformed"},
		{"key in use twice", configuration.HashKey("market"), configuration.HashKey("operator"), "c.yaml:40:19", "already in use"},
		{"time of day", "Open: 08:00", "Open: 8:00", "c.yaml:10:13", "malformed"},
		{"closes before it opens", `"18:00"`, `"07:00"`, "c.yaml:11:14", "not after"},
		{"timeout without unit", "Timeout: 30s", "Timeout: 30", "c.yaml:12:14", "duration"},
		{"timeout of zero", "Timeout: 30s", "Timeout: 0s", "c.yaml:12:14", "out of range"},
		{"timeout too long", "Timeout: 5s", "Timeout: 61m", "c.yaml:25:20", "out of range"},
		{"unknown kind", "orders/Reorder", "orders/Lookup", "c.yaml:13:21", "request kind is not known"},
		{"number as text", `Version: "3"`, "Version: 3", "c.yaml:16:16", "text"},
		{"layers", "Layers: 32", "Layers: 0", "c.yaml:17:15", "out of range"},
		{"layer bytes", "Layers: 32", "Layers: 32\n      LayerBytes: -1", "c.yaml:18:19", "out of range"},
		{"managed without accelerators", "  Models:", "  Placement: {Managed: true}\n  Models:", "c.yaml:14:24", "needs the accelerators"},
		{"accelerator without rate", "  Models:", "  Accelerators: [{Name: A1, MemoryBytes: 8}]\n  Models:", "c.yaml:14:19", "Rate is out of range"},
		{"accelerator named twice", "  Models:", "  Accelerators: [{Name: A1, MemoryBytes: 8, Rate: 1}, {Name: A1, MemoryBytes: 8, Rate: 1}]\n  Models:", "c.yaml:14:62", "named twice"},
		{"method", "Method: POST\n          Path: /reorders", "Method: FETCH\n          Path: /reorders", "c.yaml:22:19", "method"},
		{"path without slash", "Path: /reorders", "Path: reorders", "c.yaml:23:17", "path is malformed"},
		{"wildcard in the middle", "Path: /reorders", "Path: /a/*/b", "c.yaml:23:17", "path is malformed"},
		{"parent directory", "Path: /reorders", "Path: /a/../b", "c.yaml:23:17", "path is malformed"},
		{"kind hidden by an earlier kind", "Path: /reorders", "Path: /*", "c.yaml:28:17", "earlier kind Reorder"},
		{"idempotent is not a bool", "Idempotent: false", "Idempotent: no", "c.yaml:24:23", "yes or no"},
		{"workspace name", "Name: large", "Name: ../x", "c.yaml:31:11", "not usable"},
		{"weight", "Weight: 4", "Weight: -1", "c.yaml:32:13", "out of range"},
		{"weekday", "[Tuesday, Saturday]", "[Tuesday, Tue]", "c.yaml:42:33", "weekday"},
		{"priority", "Priority: Schedule", "Priority: High", "c.yaml:44:21", "priority"},
		{"unknown model", "Model: darning", "Model: sewing", "c.yaml:47:16", "model"},
		{"unknown service", "Services: [orders]", "Services: [stock]", "c.yaml:50:16", "service"},
		{"duplicate workspace", "    Services: [orders]\n", "    Services: [orders]\n  - Name: large\n    Weight: 1\n", "c.yaml:51:11", "named twice"},
		{"duplicate field", "Version: 7\n", "Version: 7\nVersion: 8\n", "c.yaml:2:1", "already defined"},
		{"alias", "Fleet: Test", "Fleet: &a Test", "c.yaml:3:10", "Anchors"},
		{"second document", "Version: 7\n", "Version: 7\n---\n", "c.yaml:3:1", "more than one"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			content := strings.Replace(valid, test.old, test.with, 1)
			qt.Assert(t, content, qt.Not(qt.Equals), valid)
			_, _, err := configuration.Parse("c.yaml", []byte(content))
			qt.Assert(t, err, qt.Not(qt.IsNil))
			first, _, _ := strings.Cut(err.Error(), "\n")
			qt.Assert(t, first, qt.Contains, test.position)
			qt.Assert(t, first, qt.Contains, test.rule)
		})
	}
}

// TestFindingsTogether guards against reporting only the first problem of a file.
func TestFindingsTogether(t *testing.T) {
	content := strings.NewReplacer("Weight: 4", "Weight: 0", "Layers: 32", "Layers: many", "Fleet:", "Flet:").Replace(valid)
	_, _, err := configuration.Parse("c.yaml", []byte(content))
	var found *finding.Error
	qt.Assert(t, errors.As(err, &found), qt.IsTrue)
	qt.Assert(t, found.Findings, qt.HasLen, 4, qt.Commentf("%v", err)) // The fourth is the fleet without a name.
}

// FuzzParse guards against a panic, and against an accepted file that changes when it is marshalled and parsed again.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{valid, "", "[", "a: &a [*a]", "? [", "Version: -1", "HeadOffice: {Fleet: !!str 1}", "Workspaces: [{}, ~]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		c, _, err := configuration.Parse("f.yaml", content)
		if err != nil {
			return
		}
		written, err := configuration.Marshal(c)
		qt.Assert(t, err, qt.IsNil)
		again, _, err := configuration.Parse("f.yaml", written)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", written))
		rewritten, err := configuration.Marshal(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(rewritten), qt.Equals, string(written))
	})
}
