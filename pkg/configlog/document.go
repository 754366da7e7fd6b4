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
	// WorkspacePrefix is the prefix of the name of a workspace's document.
	WorkspacePrefix = "Workspace/"
)

// Split returns the documents of a configuration, starting with the head office's.
func Split(c *configuration.Configuration) []Document {
	documents := []Document{{Name: HeadOffice, Content: encode(c.HeadOffice)}}
	for _, w := range c.Workspaces {
		documents = append(documents, Document{Name: WorkspacePrefix + w.Name, Content: encode(w)})
	}
	return documents
}

// Join returns the configuration that consists of the documents, with the workspaces sorted by name. It ignores deleted
// documents. The error is a *finding.Error with all findings.
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
			addDocument(&c, d, &findings)
		}
	}
	slices.SortFunc(c.Workspaces, func(a, b configuration.Workspace) int { return strings.Compare(a.Name, b.Name) })
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return &c, nil
}

// addDocument decodes d and adds it to c.
func addDocument(c *configuration.Configuration, d Document, findings *finding.List) {
	name, isWorkspace := strings.CutPrefix(d.Name, WorkspacePrefix)
	switch {
	case d.Name == HeadOffice:
		decodeDocument(d, &c.HeadOffice, findings)
	case isWorkspace && name != "":
		var w configuration.Workspace
		if decodeDocument(d, &w, findings) && w.Name != name {
			findings.Add(finding.Finding{File: d.Name, Path: "$.Name", Value: w.Name, Rule: "the name must be that of the document", Accepted: name})
		}
		c.Workspaces = append(c.Workspaces, w)
	default:
		findings.Add(finding.Finding{File: d.Name, Value: d.Name, Rule: "the document must have a known name", Accepted: "HeadOffice or Workspace/<name>"})
	}
}

func decodeDocument(d Document, into any, findings *finding.List) bool {
	err := json.Unmarshal(d.Content, into)
	if err != nil {
		findings.Add(finding.Finding{File: d.Name, Value: err.Error(), Rule: "the content must be readable", Accepted: "JSON with the fields of the configuration"})
	}
	return err == nil
}

// validate returns a *finding.Error with all findings of a change, or nil.
func validate(c Change) error {
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
		// The types hold strings, numbers, bytes and times, which can always be encoded.
		panic(err)
	}
	return content
}
