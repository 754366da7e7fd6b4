package api

import (
	"fmt"
	"time"

	"github.com/cuminroute/cuminroute/pkg/finding"
)

// Code is the machine-readable code of a refusal.
type Code string

// Refusal codes with their HTTP status codes.
const (
	Malformed    Code = "Malformed"    // Malformed (400) means that the request cannot be decoded or has invalid fields.
	Unauthorized Code = "Unauthorized" // Unauthorized (401) means that the key is missing or unknown.
	NotFound     Code = "NotFound"     // NotFound (404) means that the resource does not exist.
	Conflict     Code = "Lost"         // Conflict (409) means that another change was applied first; nothing was changed.
	TooLarge     Code = "TooLarge"     // TooLarge (413) means that the body exceeds the limit.
	Invalid      Code = "Invalid"      // Invalid (422) means that the content has findings; nothing was changed.
	Internal     Code = "Internal"     // Internal (500) means an internal server error.
	Unavailable  Code = "Unavailable"  // Unavailable (503) means that a store is unavailable; nothing was changed.
	Unknown      Code = "Unknown"      // Unknown (504) means that the change may have been applied; retry it under the same ID.
)

// Error is the response body of a refusal.
type Error struct {
	Status   int               `json:"-"`
	Code     Code              `json:"Code"`
	Message  string            `json:"Message"`
	Findings []finding.Finding `json:"Findings,omitempty"`
	Conflict *Change           `json:"Conflict,omitempty"` // Conflict is the change that was applied first.
}

// Error returns the message, with each finding on a line of its own.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Code, e.Message)
	for _, f := range e.Findings {
		text += "\n" + f.String()
	}
	return text
}

// DescribeConflict returns the message for a conflict with the change that was applied first.
func DescribeConflict(other Change) string {
	return fmt.Sprintf("version %d came first (change %s by %s at %s); nothing was changed",
		other.Version, other.ID, other.By, other.At.UTC().Format(time.RFC3339))
}
