package losses_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/losses"
)

// requestLine returns the log line of a request with the given fields.
func requestLine(fields string) string {
	return `0.1 edge-1 {"Time":"2026-07-09T19:17:01.5Z","Request":"r1","Goal":100,"PauseGoal":50,` + fields + `,"message":"request ended"}` + "\n"
}

// TestCauses guards against a loss that is attributed to the wrong cause, and against a loss counted for a request that
// met its goals or was denied.
func TestCauses(t *testing.T) {
	for _, test := range []struct {
		name, fields, cause string
		lost                float64
	}{
		{"in time", `"Took":90,"Outcome":"Served"`, "", 0},
		{"a long stream in time", `"Took":900,"First":90,"Events":9,"LongestPause":50,"Outcome":"Served"`, "", 0},
		{"late", `"Took":101,"Outcome":"Served"`, "late answer", 0.5},
		{"late first event", `"Took":900,"First":101,"Events":9,"LongestPause":60,"Outcome":"Served"`, "late first event", 0.5},
		{"pause", `"First":90,"Events":9,"LongestPause":51,"Outcome":"Served"`, "pause, on its path", 0.5},
		{"pause after a path change", `"First":90,"Events":9,"LongestPause":51,"Repaths":1,"Outcome":"Served"`, "pause, path changed", 0.5},
		{"pause before a resume", `"First":90,"Events":9,"LongestPause":51,"Repaths":1,"Resumes":1,"Outcome":"Served"`, "pause, resumed elsewhere", 0.5},
		{"refused", `"Outcome":"NotRun","Reason":"no_path"`, "refused: no_path", 1},
		{"denied", `"Outcome":"NotRun","Reason":"unknown_key","Status":401`, "denied: unknown_key", 0},
		{"too many requests", `"Outcome":"NotRun","Reason":"limit","Status":429`, "refused: limit", 1},
		{"failed", `"Outcome":"Unknown","Reason":"timeout"`, "failed: timeout", 1},
		{"broken off", `"Events":3,"Outcome":"BrokenOff"`, "stream broken off", 1},
		{"caller left", `"Outcome":"CallerLeft"`, "caller left before the first event", 1},
		{"caller left midway", `"Events":3,"Outcome":"CallerLeft"`, "caller left midway", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := losses.New()
			qt.Assert(t, r.Read(strings.NewReader(requestLine(test.fields))), qt.IsNil)
			qt.Assert(t, r.Requests(), qt.Equals, 1)
			if test.cause == "" {
				qt.Assert(t, r.Causes(), qt.HasLen, 0)
				return
			}
			qt.Assert(t, r.Causes(), qt.HasLen, 1)
			c := r.Causes()[0]
			qt.Assert(t, c.Cause, qt.Equals, test.cause)
			qt.Assert(t, c.Lost, qt.Equals, test.lost)
			qt.Assert(t, c.Example, qt.Equals, "r1")
		})
	}
}

// TestForeignLines guards against counting log lines of other messages, and against dropping undecodable request lines
// without reporting their number.
func TestForeignLines(t *testing.T) {
	r := losses.New()
	log := requestLine(`"Took":1,"Outcome":"Served"`) + `{"message":"target lost","Request":"request ended"}` + "\nno JSON\n" +
		`{"message":"request ended","Took":` + "\n" + requestLine(`"Outcome":"NotRun","Reason":"stopping"`)
	qt.Assert(t, r.Read(strings.NewReader(log)), qt.IsNil)
	qt.Assert(t, r.Requests(), qt.Equals, 2)
	var table bytes.Buffer
	qt.Assert(t, r.WriteTable(&table), qt.IsNil)
	qt.Assert(t, table.String(), qt.Contains, "refused: stopping")
	qt.Assert(t, table.String(), qt.Contains, "1 lines could not be decoded")
}

// TestCommand guards against a command that skips an input file or a missing file, and against JSON and a plot that do
// not match the inputs.
func TestCommand(t *testing.T) {
	dir := t.TempDir()
	file, plotFile := filepath.Join(dir, "one.log"), filepath.Join(dir, "lost.svg")
	qt.Assert(t, os.WriteFile(file, []byte(requestLine(`"Outcome":"NotRun","Reason":"no_path"`)), 0o600), qt.IsNil)
	var output bytes.Buffer
	command := losses.NewCommand(strings.NewReader(requestLine(`"Took":101,"Outcome":"Served"`)), &output)
	qt.Assert(t, command.ParseAndRun(context.Background(), []string{"-json", "-plot", plotFile, file, "-"}), qt.IsNil)
	var got struct {
		Requests int
		Causes   []losses.Cause
	}
	qt.Assert(t, json.Unmarshal(output.Bytes(), &got), qt.IsNil)
	qt.Assert(t, got.Requests, qt.Equals, 2)
	qt.Assert(t, got.Causes, qt.HasLen, 2)
	qt.Assert(t, got.Causes[0].Cause, qt.Equals, "refused: no_path")
	content, err := os.ReadFile(plotFile)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(content), qt.Contains, "<svg")
	missing := losses.NewCommand(strings.NewReader(""), &output)
	qt.Assert(t, missing.ParseAndRun(context.Background(), []string{filepath.Join(dir, "none.log")}), qt.ErrorMatches, ".*no such file.*")
}
