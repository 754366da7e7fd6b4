package questionnaire

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/finding"
	"github.com/cuminroute/cuminroute/pkg/yamlfile"
)

// Load reads and validates the answers file at path. Findings are returned as *finding.Error.
func Load(path string) (*Answers, *yamlfile.Positions, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	return Parse(path, content)
}

// Parse decodes and validates answers. The error is a *finding.Error with every finding and its position.
func Parse(file string, content []byte) (*Answers, *yamlfile.Positions, error) {
	var a Answers
	positions, findings := yamlfile.Decode(file, content, &a)
	positions.AddUnreported(&findings, Check(&a))
	if err := findings.Err(); err != nil {
		return nil, positions, err
	}
	return &a, positions, nil
}

// Check validates the answers and returns every finding with the path of the answer. It checks the
// answers themselves, then the configuration that is generated from them, whose findings get the path
// of the answer that the value comes from.
func Check(a *Answers) []finding.Finding {
	findings := checkAnswers(a)
	// Distinct placeholders stand in for the keys that are not generated yet.
	g := newGenerator(&placeholderSource{})
	for _, f := range configuration.Check(g.checkable(a)) {
		f.Path = g.origins.answerPath(f.Path)
		if f.Path != "" && !reported(findings, f) {
			findings = append(findings, f)
		}
	}
	return findings
}

// checkable returns the configuration with an additional workspace that has every pipeline, so that
// pipelines that no workspace has are checked too. Findings about other values of the additional workspace
// have no answer, and Check drops them.
func (g *generator) checkable(a *Answers) *configuration.Configuration {
	c := g.configuration(a)
	path := formatPath("$.Workspaces[%d]", len(c.Workspaces))
	g.origins.record(path, "")
	g.origins.record(path+".Pipelines", "$.Pipelines")
	c.Workspaces = append(c.Workspaces, configuration.Workspace{Weight: 1, Pipelines: a.Pipelines})
	return c
}

// findingsOf returns the findings of Check as a *finding.Error, and nil if there are none.
func findingsOf(a *Answers) error {
	var list finding.List
	for _, f := range Check(a) {
		list.Add(f)
	}
	return list.Err()
}

// reported reports whether findings already has the problem of f: a problem of one pipeline has a finding in each
// workspace that has the pipeline, and an unknown size also leads to an invalid weight.
func reported(findings []finding.Finding, f finding.Finding) bool {
	return slices.ContainsFunc(findings, func(known finding.Finding) bool {
		return known.Path == f.Path && (known.Rule == f.Rule || strings.HasSuffix(f.Path, ".Size"))
	})
}

// checkAnswers returns the findings that do not concern the generated configuration.
func checkAnswers(a *Answers) []finding.Finding {
	var findings []finding.Finding
	for i, w := range a.Workspaces {
		path := formatPath("$.Workspaces[%d]", i)
		if _, known := weights[w.Size]; !known {
			findings = append(findings, finding.Finding{
				Path: path + ".Size", Value: string(w.Size),
				Rule: "The size is not known", Accepted: "Small, Medium, Large",
			})
		}
		if w.Pipelines != nil {
			findings = append(findings, unknownPipelines(a, path, *w.Pipelines)...)
		}
	}
	return findings
}

func unknownPipelines(a *Answers, path string, chosen []string) []finding.Finding {
	var findings []finding.Finding
	var known []string
	for _, p := range a.Pipelines {
		known = append(known, p.Name)
	}
	for i, name := range chosen {
		if !slices.Contains(known, name) {
			findings = append(findings, finding.Finding{
				Path: formatPath("%s.Pipelines[%d]", path, i), Value: name,
				Rule: "The pipeline is not described in the answers", Accepted: strings.Join(known, ", "),
			})
		}
	}
	return findings
}

// placeholderSource is a source of distinct bytes for placeholder keys, which are only checked and never used.
type placeholderSource struct {
	next uint64
}

// Read fills p with a value that it has not returned before.
func (c *placeholderSource) Read(p []byte) (int, error) {
	c.next++
	return copy(p, fmt.Sprintf("%024d", c.next)), nil
}

// origins maps a path in the configuration to the path of the answer that the value comes from.
type origins map[string]string

func (o origins) record(configurationPath, answerPath string) {
	o[configurationPath] = answerPath
}

// answerPath returns the path of the answer for a path in the configuration. The longest recorded prefix of path
// decides: a path without a recorded prefix is the same in both files, and a prefix that maps to "" has no answer.
func (o origins) answerPath(path string) string {
	for above := path; above != ""; above = above[:max(strings.LastIndexAny(above, ".["), 0)] {
		answer, found := o[above]
		switch {
		case found && answer == "":
			return ""
		case found:
			return answer + path[len(above):]
		}
	}
	return path
}

func formatPath(format string, args ...any) string {
	return fmt.Sprintf(format, args...)
}
