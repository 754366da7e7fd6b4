package configlog

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/finding"
)

const (
	// HeadOffice is the name of the head office's document.
	HeadOffice = "HeadOffice"
	// WorkspacePrefix starts the name of a workspace's document.
	WorkspacePrefix = "Workspace/"
)

// Split returns the documents of a configuration, the head office's first.
func Split(c *configuration.Configuration) []Document {
	documents := []Document{{Name: HeadOffice, Content: encode(c.HeadOffice)}}
	for _, w := range c.Workspaces {
		documents = append(documents, Document{Name: WorkspacePrefix + w.Name, Content: encode(w)})
	}
	return documents
}

// Join returns the configuration that the documents make up, with the workspaces in order of name.
// Deleted documents are left out. The error is a *finding.Error with every fault.
func Join(documents []Document) (*configuration.Configuration, error) {
	var c configuration.Configuration
	var findings finding.List
	seen := map[string]bool{}
	for _, d := range documents {
		if seen[d.Name] {
			findings.Add(finding.Finding{File: d.Name, Value: d.Name, Rule: "a document must occur once", Accepted: "distinct names"})
		}
		seen[d.Name] = true
		if !d.Deleted {
			add(&c, d, &findings)
		}
	}
	slices.SortFunc(c.Workspaces, func(a, b configuration.Workspace) int { return strings.Compare(a.Name, b.Name) })
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return &c, nil
}

// add decodes d into its place in c.
func add(c *configuration.Configuration, d Document, findings *finding.List) {
	name, isWorkspace := strings.CutPrefix(d.Name, WorkspacePrefix)
	switch {
	case d.Name == HeadOffice:
		decode(d, &c.HeadOffice, findings)
	case isWorkspace && name != "":
		var w configuration.Workspace
		if decode(d, &w, findings) && w.Name != name {
			findings.Add(finding.Finding{File: d.Name, Path: "$.Name", Value: w.Name, Rule: "the name must be that of the document", Accepted: name})
		}
		c.Workspaces = append(c.Workspaces, w)
	default:
		findings.Add(finding.Finding{File: d.Name, Value: d.Name, Rule: "the document must have a known name", Accepted: "HeadOffice or Workspace/<name>"})
	}
}

func decode(d Document, into any, findings *finding.List) bool {
	err := json.Unmarshal(d.Content, into)
	if err != nil {
		findings.Add(finding.Finding{File: d.Name, Value: err.Error(), Rule: "the content must be readable", Accepted: "JSON with the fields of the configuration"})
	}
	return err == nil
}

// check returns an error with every fault of a change.
func check(c Change) error {
	var findings finding.List
	for _, field := range []struct{ name, value string }{{"ID", c.ID}, {"By", c.By}} {
		if field.value == "" {
			findings.Add(finding.Finding{File: "change", Path: "$." + field.name, Rule: "the field must be set", Accepted: "any text"})
		}
	}
	if _, err := Join(c.Documents); err != nil {
		for _, f := range err.(*finding.Error).Findings {
			findings.Add(f)
		}
	}
	return findings.Err()
}

func encode(v any) []byte {
	content, err := json.Marshal(v)
	if err != nil {
		// The types hold strings, numbers, bytes and times, which always encode.
		panic(err)
	}
	return content
}
