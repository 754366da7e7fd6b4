package configuration

import (
	"os"

	"github.com/goccy/go-yaml"

	"github.com/cuminroute/cuminroute/pkg/yamlfile"
)

// Load reads and checks the configuration file at path. Findings are returned as *finding.Error.
func Load(path string) (*Configuration, *yamlfile.Positions, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	return Parse(path, content)
}

// Parse reads and checks a configuration. File is the name to report in findings. The error is a
// *finding.Error that holds every finding of the structure and of Check. Places are returned in
// both cases.
func Parse(file string, content []byte) (*Configuration, *yamlfile.Positions, error) {
	var c Configuration
	places, findings := yamlfile.Decode(file, content, &c)
	places.AddUnreported(&findings, Check(&c))
	if err := findings.Err(); err != nil {
		return nil, places, err
	}
	return BuildIndex(&c), places, nil
}

// Marshal returns the configuration as YAML that Parse reads back to an equal configuration.
func Marshal(c *Configuration) ([]byte, error) {
	return yaml.MarshalWithOptions(c, yaml.IndentSequence(true))
}
