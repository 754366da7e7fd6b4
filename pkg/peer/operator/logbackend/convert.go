package logbackend

import (
	"github.com/cuminroute/cuminroute/pkg/configlog"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

func toHead(h configlog.Head) api.Head {
	return api.Head{Version: h.Version, ID: h.ID, By: h.By, At: h.At}
}

func toDocuments(documents []api.Document) []configlog.Document {
	var result []configlog.Document
	for _, d := range documents {
		result = append(result, configlog.Document{Name: d.Name, Content: d.Content, Deleted: d.Deleted})
	}
	return result
}

func toChange(c configlog.Change) api.Change {
	change := api.Change{Version: c.Version, Expected: c.Expected, ID: c.ID, By: c.By, At: c.At}
	for _, d := range c.Documents {
		change.Documents = append(change.Documents, api.Document{Name: d.Name, Content: d.Content, Deleted: d.Deleted})
	}
	return change
}
