package questionnaire

import (
	_ "embed"

	"github.com/goccy/go-yaml"
)

//go:embed form.yaml
var form []byte

// Template returns the form with explanations and example answers. The form is itself a valid answers file.
func Template() []byte {
	return append([]byte(nil), form...)
}

// Marshal returns answers as YAML, in the format that Parse reads.
func Marshal(a *Answers) ([]byte, error) {
	return yaml.MarshalWithOptions(a, yaml.IndentSequence(true))
}
