package experiment_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/experiment"
	"github.com/cuminroute/cuminroute/pkg/finding"
)

// example returns the settings of examples/experiment.yaml with a shorter run, one burst and one target failure.
func example(c *qt.C) *experiment.Settings {
	s, err := experiment.Load("../../examples/experiment.yaml")
	c.Assert(err, qt.IsNil)
	s.Duration = 8 * time.Second
	s.Bursts = []experiment.Burst{{From: 2 * time.Second, To: 5 * time.Second, Percent: 250}}
	s.Failures = []experiment.TargetFailure{{At: 6 * time.Second, Accelerator: "middle", Count: 2}}
	return s
}

// TestPredicted guards against a path estimate that gives clients less credit than common load balancing policies, in a
// burst and after a target failure.
func TestPredicted(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { comparePolicies(t, seed) })
	}
}

func comparePolicies(t *testing.T, seed uint64) {
	t.Parallel()
	c := qt.New(t)
	s := example(c)
	s.Seed = seed
	report, err := experiment.Run(s)
	c.Assert(err, qt.IsNil)
	var table bytes.Buffer
	c.Assert(report.WriteTable(&table), qt.IsNil)
	c.Logf("seed %d\n%s", seed, table.String())
	predicted := report.Policies[0]
	c.Assert(predicted.Policy, qt.Equals, "Predicted")
	c.Assert(predicted.Broken, qt.Equals, 0)
	for _, other := range report.Policies[1:] {
		c.Assert(other.Requests, qt.Equals, predicted.Requests)
		c.Assert(predicted.Credit > other.Credit, qt.IsTrue, qt.Commentf("%s", other.Policy))
		c.Assert(predicted.WorstCredit > other.WorstCredit, qt.IsTrue, qt.Commentf("%s", other.Policy))
	}
}

// TestSameSeed guards against runs with the same seed that differ.
func TestSameSeed(t *testing.T) {
	c := qt.New(t)
	s := example(c)
	s.Duration, s.Policies = 3*time.Second, []string{"Predicted", "Random"}
	var outputs [2]bytes.Buffer
	for i := range outputs {
		report, err := experiment.Run(s)
		c.Assert(err, qt.IsNil)
		c.Assert(report.WriteJSON(&outputs[i]), qt.IsNil)
	}
	c.Assert(outputs[0].String(), qt.Equals, outputs[1].String())
}

// TestFindings guards against invalid settings that are accepted, or reported without their position.
func TestFindings(t *testing.T) {
	for _, test := range []struct {
		name, old, new, path string
		line                 int
	}{
		{"unknown policy", "Policies: [Predicted,", "Policies: [Best,", "$.Policies[0]", 7},
		{"unknown accelerator", "Accelerator: large, Count: 2}", "Accelerator: huge, Count: 2}", "$.Fleet[0].Accelerator", 25},
		{"no requests", "PerSecond: 45", "PerSecond: 0", "$.Requests.PerSecond", 35},
		{"a burst that ends before it begins", "To: 16s", "To: 6s", "$.Bursts[0].To", 41},
	} {
		t.Run(test.name, func(t *testing.T) {
			content := readFile(t, "../../examples/experiment.yaml")
			qt.Assert(t, strings.Contains(content, test.old), qt.IsTrue)
			_, err := experiment.Parse("e.yaml", []byte(strings.Replace(content, test.old, test.new, 1)))
			var found *finding.Error
			qt.Assert(t, errors.As(err, &found), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, found.Findings[0].Path, qt.Equals, test.path)
			qt.Assert(t, found.Findings[0].Line, qt.Equals, test.line)
		})
	}
}

// TestTooSmall guards against simulating a model that the fleet cannot hold.
func TestTooSmall(t *testing.T) {
	c := qt.New(t)
	s := example(c)
	s.Fleet = s.Fleet[:1]
	_, err := experiment.Run(s)
	c.Assert(err, qt.ErrorMatches, ".*cannot hold the model.*")
}

// TestPlot guards against reports whose credit cannot be plotted.
func TestPlot(t *testing.T) {
	c := qt.New(t)
	s := example(c)
	s.Duration, s.Policies = 3*time.Second, []string{"Random"}
	report, err := experiment.Run(s)
	c.Assert(err, qt.IsNil)
	file := filepath.Join(t.TempDir(), "credit.svg")
	c.Assert(report.Plot(file), qt.IsNil)
	c.Assert(strings.Contains(readFile(t, file), "<svg"), qt.IsTrue)
}

func readFile(t *testing.T, file string) string {
	content, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	return string(content)
}
