package configuration

import (
	"os"

	"github.com/goccy/go-yaml"

	"github.com/cuminroute/cuminroute/pkg/yamlfile"
)

// Load reads and validates the configuration file at path. Findings are returned as *finding.Error.
func Load(path string) (*Configuration, *yamlfile.Positions, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	return Parse(path, content)
}

// Parse decodes and validates a configuration. file is the file name in findings. The error is a
// *finding.Error that holds every structural finding and the findings of Check about other values. The
// positions are returned with and without an error.
func Parse(file string, content []byte) (*Configuration, *yamlfile.Positions, error) {
	var c Configuration
	positions, findings := yamlfile.Decode(file, content, &c)
	positions.AddUnreported(&findings, Check(&c))
	if err := findings.Err(); err != nil {
		return nil, positions, err
	}
	return BuildIndex(&c), positions, nil
}

// Marshal returns the configuration as YAML. Parse turns it into an equal configuration.
func Marshal(c *Configuration) ([]byte, error) {
	return yaml.MarshalWithOptions(c, yaml.IndentSequence(true))
}
