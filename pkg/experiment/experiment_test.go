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

// example returns the settings of the example, made shorter.
func example(c *qt.C) *experiment.Settings {
	s, err := experiment.Load("../../examples/experiment.yaml")
	c.Assert(err, qt.IsNil)
	s.Length = 8 * time.Second
	s.Bursts = []experiment.Burst{{From: 2 * time.Second, To: 5 * time.Second, Percent: 250}}
	s.Losses = []experiment.Loss{{At: 6 * time.Second, Accelerator: "middle", Count: 2}}
	return s
}

// TestPredicted guards against choices of path that serve callers worse than the usual ways to balance load, in a burst
// and after a loss.
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
	report, err := experiment.Play(s)
	c.Assert(err, qt.IsNil)
	var table bytes.Buffer
	c.Assert(report.Write(&table), qt.IsNil)
	c.Logf("seed %d\n%s", seed, table.String())
	own := report.Policies[0]
	c.Assert(own.Policy, qt.Equals, "Predicted")
	c.Assert(own.Broken, qt.Equals, 0)
	for _, other := range report.Policies[1:] {
		c.Assert(other.Requests, qt.Equals, own.Requests)
		c.Assert(own.Credit > other.Credit, qt.IsTrue, qt.Commentf("%s", other.Policy))
		c.Assert(own.Worst > other.Worst, qt.IsTrue, qt.Commentf("%s", other.Policy))
	}
}

// TestSameSeed guards against experiments that cannot be repeated.
func TestSameSeed(t *testing.T) {
	c := qt.New(t)
	s := example(c)
	s.Length, s.Policies = 3*time.Second, []string{"Predicted", "Random"}
	var outputs [2]bytes.Buffer
	for i := range outputs {
		report, err := experiment.Play(s)
		c.Assert(err, qt.IsNil)
		c.Assert(report.WriteJSON(&outputs[i]), qt.IsNil)
	}
	c.Assert(outputs[0].String(), qt.Equals, outputs[1].String())
}

// TestFindings guards against faulty settings that are played, or reported without their place.
func TestFindings(t *testing.T) {
	for _, test := range []struct {
		about, old, new, path string
		line                  int
	}{
		{"unknown policy", "Policies: [Predicted,", "Policies: [Best,", "$.Policies[0]", 7},
		{"unknown accelerator", "Accelerator: large, Count: 2}", "Accelerator: huge, Count: 2}", "$.Fleet[0].Accelerator", 25},
		{"no requests", "PerSecond: 45", "PerSecond: 0", "$.Requests.PerSecond", 35},
		{"a burst that ends before it begins", "To: 16s", "To: 6s", "$.Bursts[0].To", 41},
	} {
		t.Run(test.about, func(t *testing.T) {
			content := read(t, "../../examples/experiment.yaml")
			qt.Assert(t, strings.Contains(content, test.old), qt.IsTrue)
			_, err := experiment.Parse("e.yaml", []byte(strings.Replace(content, test.old, test.new, 1)))
			var faults *finding.Error
			qt.Assert(t, errors.As(err, &faults), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, faults.Findings[0].Path, qt.Equals, test.path)
			qt.Assert(t, faults.Findings[0].Line, qt.Equals, test.line)
		})
	}
}

// TestTooSmall guards against playing a model that the fleet cannot hold.
func TestTooSmall(t *testing.T) {
	c := qt.New(t)
	s := example(c)
	s.Fleet = s.Fleet[:1]
	_, err := experiment.Play(s)
	c.Assert(err, qt.ErrorMatches, ".*cannot hold the model.*")
}

// TestPlot guards against plots that cannot be written.
func TestPlot(t *testing.T) {
	c := qt.New(t)
	s := example(c)
	s.Length, s.Policies = 3*time.Second, []string{"Random"}
	report, err := experiment.Play(s)
	c.Assert(err, qt.IsNil)
	file := filepath.Join(t.TempDir(), "credit.svg")
	c.Assert(report.Plot(file), qt.IsNil)
	c.Assert(strings.Contains(read(t, file), "<svg"), qt.IsTrue)
}

func read(t *testing.T, file string) string {
	content, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	return string(content)
}
