package api

import (
	"fmt"
	"time"

	"github.com/cuminroute/cuminroute/pkg/finding"
)

// Code classifies a refusal.
type Code string

// Codes of refusals and the HTTP status of each.
const (
	Malformed    Code = "Malformed"    // Malformed (400) means that the request could not be read.
	Unauthorized Code = "Unauthorized" // Unauthorized (401) means that the key is missing or unknown.
	NotFound     Code = "NotFound"     // NotFound (404) means that the named thing does not exist.
	Conflict     Code = "Lost"         // Conflict (409) means that another change came first; nothing was changed.
	TooLarge     Code = "TooLarge"     // TooLarge (413) means that the body exceeds the limit.
	Invalid      Code = "Invalid"      // Invalid (422) means that the content has findings; nothing was changed.
	Internal     Code = "Internal"     // Internal (500) means that the server failed.
	Unavailable  Code = "Unavailable"  // Unavailable (503) means that a store is down; nothing was changed.
	Unknown      Code = "Unknown"      // Unknown (504) means that the change may have been made; send it again under the same ID.
)

// Error is the body of every refusal.
type Error struct {
	Status   int               `json:"-"`
	Code     Code              `json:"Code"`
	Message  string            `json:"Message"`
	Findings []finding.Finding `json:"Findings,omitempty"`
	Conflict *Change           `json:"Conflict,omitempty"` // Conflict is the change that came first.
}

// Error returns the message, with each finding on a line of its own.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Code, e.Message)
	for _, f := range e.Findings {
		text += "\n" + f.String()
	}
	return text
}

// DescribeConflict returns the sentence that names the change that came first.
func DescribeConflict(other Change) string {
	return fmt.Sprintf("version %d came first (change %s by %s at %s); nothing was changed",
		other.Version, other.ID, other.By, other.At.UTC().Format(time.RFC3339))
}
