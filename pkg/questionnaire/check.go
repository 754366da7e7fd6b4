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

// Load reads and checks the answers file at path. Findings are returned as *finding.Error.
func Load(path string) (*Answers, *yamlfile.Positions, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	return Parse(path, content)
}

// Parse reads and checks answers. The error is a *finding.Error with every finding and its place.
func Parse(file string, content []byte) (*Answers, *yamlfile.Positions, error) {
	var a Answers
	places, findings := yamlfile.Decode(file, content, &a)
	places.AddUnreported(&findings, Check(&a))
	if err := findings.Err(); err != nil {
		return nil, places, err
	}
	return &a, places, nil
}

// Check returns every fault of the answers, each with the path of the answer. Apart from faults
// that only answers can have, it checks the configuration that they make and names the answers
// that the faulty values come from.
func Check(a *Answers) []finding.Finding {
	findings := checkOwn(a)
	// Keys that are yet to be made are replaced by distinct ones here.
	g := newGenerator(&counter{})
	for _, f := range configuration.Check(g.checkable(a)) {
		f.Path = g.origins.of(f.Path)
		if f.Path != "" && !reported(findings, f) {
			findings = append(findings, f)
		}
	}
	return findings
}

// checkable returns the configuration with one more workspace that has every pipeline, so that
// pipelines that no workspace has are checked too. Other findings of that workspace have no origin.
func (g *generator) checkable(a *Answers) *configuration.Configuration {
	c := g.configuration(a)
	path := at("$.Workspaces[%d]", len(c.Workspaces))
	g.origins.note(path, "")
	g.origins.note(path+".Pipelines", "$.Pipelines")
	c.Workspaces = append(c.Workspaces, configuration.Workspace{Weight: 1, Pipelines: a.Pipelines})
	return c
}

func findingsOf(a *Answers) error {
	var list finding.List
	for _, f := range Check(a) {
		list.Add(f)
	}
	return list.Err()
}

// reported tells whether a fault is known already: a fault of one pipeline shows in each workspace
// that has it, and an unknown size has no weight.
func reported(findings []finding.Finding, f finding.Finding) bool {
	return slices.ContainsFunc(findings, func(known finding.Finding) bool {
		return known.Path == f.Path && (known.Rule == f.Rule || strings.HasSuffix(f.Path, ".Size"))
	})
}

func checkOwn(a *Answers) []finding.Finding {
	var findings []finding.Finding
	for i, w := range a.Workspaces {
		path := at("$.Workspaces[%d]", i)
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
				Path: at("%s.Pipelines[%d]", path, i), Value: name,
				Rule: "The pipeline is not described in the answers", Accepted: strings.Join(known, ", "),
			})
		}
	}
	return findings
}

// counter is a source of distinct bytes for keys that are only checked and never used.
type counter struct {
	next uint64
}

// Read fills p with a value that it has not given before.
func (c *counter) Read(p []byte) (int, error) {
	c.next++
	return copy(p, fmt.Sprintf("%024d", c.next)), nil
}

// origins maps a path in the configuration to the path of the answer it comes from.
type origins map[string]string

func (o origins) note(configurationPath, answerPath string) {
	o[configurationPath] = answerPath
}

// of returns the path of the answer. The longest noted path above the given one decides: what is
// noted nowhere has the same path in both, and what is noted as "" comes from no answer.
func (o origins) of(path string) string {
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

func at(format string, args ...any) string {
	return fmt.Sprintf(format, args...)
}
