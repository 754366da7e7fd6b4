package soak_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/soak"
	"github.com/cuminroute/cuminroute/pkg/standin/inprocess"
)

// Guards against violations of any promise that occur within a few seconds of faults, and against a run that sends no
// requests or injects no faults.
func TestShortRun(t *testing.T) {
	c := qt.New(t)
	report, err := soak.Run(context.Background(), soak.Options{Seed: 3, Duration: 2 * time.Second, Instances: 3, Start: inprocess.Start})
	c.Assert(err, qt.IsNil)
	c.Assert(report.ViolationCount(), qt.Equals, 0, qt.Commentf("%v", report.Findings))
	c.Assert(report.Requests["Ask.Done"] > 0 && report.Requests["Order.Done"] > 0, qt.IsTrue, qt.Commentf("%v", report.Requests))
	c.Assert(len(report.Faults) > 1, qt.IsTrue)
}
