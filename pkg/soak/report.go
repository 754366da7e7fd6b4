package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Report is the result of a run. Its JSON encoding is the last line of the command's output.
type Report struct {
	Seed       uint64            `json:"Seed"`
	Duration   string            `json:"Duration"`
	Faults     map[FaultKind]int `json:"Faults"`
	Requests   map[string]int    `json:"Requests"` // Requests counts requests by kind and outcome. Broken ones ended without a stated outcome.
	Codes      map[string]int    `json:"Codes"`    // Codes counts the error codes of unsuccessful requests by kind.
	Violations map[string]int    `json:"Violations"`
	Findings   []string          `json:"Findings,omitempty"` // Findings describes the first violations of each promise.
	// TargetsPerCrash is the largest number of targets that a single request crashed.
	TargetsPerCrash int `json:"TargetsPerCrash"`
	Executions      int `json:"Executions"`
	Configurations  int `json:"Configurations"` // Configurations is the number of accepted configuration changes.
}

// maxFindingsPerPromise limits the findings per promise in a report.
const maxFindingsPerPromise = 5

// ViolationCount returns the total number of violations.
func (r Report) ViolationCount() int {
	sum := 0
	for _, n := range r.Violations {
		sum += n
	}
	return sum
}

// WriteJSON writes the report as one line of JSON.
func (r Report) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(r)
}

func newReport(o Options) Report {
	r := Report{Seed: o.Seed, Duration: o.Duration.Round(time.Second).String(), Requests: map[string]int{}, Codes: map[string]int{}, Violations: map[string]int{}, Faults: map[FaultKind]int{}}
	for n := 1; n <= 7; n++ {
		r.Violations[fmt.Sprintf("P%d", n)] = 0
	}
	return r
}

func (r *Report) addViolation(promise, format string, args ...any) {
	r.Violations[promise]++
	if r.Violations[promise] <= maxFindingsPerPromise {
		r.Findings = append(r.Findings, promise+": "+fmt.Sprintf(format, args...))
	}
}
