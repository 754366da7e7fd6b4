package command

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"

	"github.com/cuminroute/cuminroute/pkg/finding"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

// outputFormat is the value of the flag -output.
type outputFormat string

const (
	textOutput outputFormat = "text"
	jsonOutput outputFormat = "json"
)

// String returns the format.
func (f *outputFormat) String() string {
	return string(*f)
}

// Set accepts text and json.
func (f *outputFormat) Set(value string) error {
	switch outputFormat(value) {
	case textOutput, jsonOutput:
		*f = outputFormat(value)
		return nil
	}
	return fmt.Errorf("%q is not an output format: text or json is accepted", value)
}

func outputFlag(set *flag.FlagSet) *outputFormat {
	format := textOutput
	set.Var(&format, "output", "output format: text or json")
	return &format
}

// write prints body as JSON, or calls text where no JSON is asked for.
func (e *Environment) write(format *outputFormat, body any, text func()) error {
	if *format != jsonOutput {
		text()
		return nil
	}
	encoder := json.NewEncoder(e.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(body)
}

// report returns err. Where JSON is asked for, its content is printed as JSON as well.
func (e *Environment) report(err error, format *outputFormat) error {
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
	if writeErr := e.write(format, body, nil); writeErr != nil {
		return writeErr
	}
	return err
}
