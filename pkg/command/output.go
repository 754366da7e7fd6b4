package command

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"

	"github.com/cuminroute/cuminroute/pkg/finding"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

// outputFormat is the value of the -output flag.
type outputFormat string

const (
	textOutput outputFormat = "text"
	jsonOutput outputFormat = "json"
)

// String implements flag.Value.
func (f *outputFormat) String() string {
	return string(*f)
}

// Set implements flag.Value. It accepts text and json.
func (f *outputFormat) Set(value string) error {
	switch outputFormat(value) {
	case textOutput, jsonOutput:
		*f = outputFormat(value)
		return nil
	}
	return fmt.Errorf("unknown output format %q: must be text or json", value)
}

func newOutputFlag(set *flag.FlagSet) *outputFormat {
	format := textOutput
	set.Var(&format, "output", "output format: text or json")
	return &format
}

// writeResult prints body if the format is JSON, and otherwise calls text to print the result.
func (e *Environment) writeResult(format *outputFormat, body any, text func()) error {
	if *format != jsonOutput {
		text()
		return nil
	}
	encoder := json.NewEncoder(e.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(body)
}

// reportError returns err. If the format is JSON, it also prints err to Stdout as an api.Error.
func (e *Environment) reportError(err error, format *outputFormat) error {
	if *format != jsonOutput {
		return err
	}
	var invalid *finding.Error
	var refusal *api.Error
	body := &api.Error{Code: api.Internal, Message: err.Error()}
	switch {
	case errors.As(err, &refusal):
		body = refusal
	case errors.As(err, &invalid):
		body = &api.Error{Code: api.Invalid, Message: fmt.Sprintf("%d findings", len(invalid.Findings)), Findings: invalid.Findings}
	}
	if writeErr := e.writeResult(format, body, nil); writeErr != nil {
		return writeErr
	}
	return err
}
