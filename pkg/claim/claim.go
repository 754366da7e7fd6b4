// Package claim lets a request that is not idempotent run at most once.
//
// A request is claimed in the table service before its first byte is sent. The claim is a conditional insert of a row
// for (workspace, idempotency key) with a unique claim ID, so the table decides which of several instances wins. Only
// the winner may send the request. A duplicate gets the state of the first request: its response if it finished, and
// otherwise Held. The holder of a claim is the instance that made it. A held claim is never transferred to another
// client's request, even if its holder crashed: the request may have run, so clients get the outcome Unknown.
//
// The claims, responses and abandoned claims of one instance are written in batches, one transaction for each batch.
// After an idle period the first operation is written immediately. From then on a transaction starts when the previous
// one has ended and the batch interval has passed since its start. While the table refuses transactions above its rate
// limit, the batch interval grows, up to 250 ms, and claims wait up to 2 s instead of failing. An operation conflicts
// if its row does not have the revision that the operation expects. It is removed from the batch, and the others are
// written again. When the table's response is lost, the same transaction is sent again: if the first attempt had taken
// effect, the conditions fail and the rows returned hold this claim's ID.
//
// Every error of Claim means that the caller must not run the request and may report NotRun. After such an error the
// claimer abandons the claim if it took effect nonetheless. If it cannot, duplicates within the retention get Unknown
// although nothing ran.
//
// A key is remembered for 24 h. A key carries no time, so a key that is used again later is treated as a new request.
//
// A response with a body above the limit (32 KiB by default) is stored as status and content type only, with Omitted
// set: a duplicate learns that the request ran and how it ended, but does not get the body.
//
// Usage:
//
//	claimer := claim.New(tableClient, "entry-3")
//	defer claimer.Close()
//	got, err := claimer.Claim(ctx, claim.Key{Workspace: "w1", Key: "order-17", Content: sha256.Sum256(body)})
//	switch {
//	case err != nil: // Refuse as NotRun.
//	case got.State == claim.Won: // Send the request, then call claimer.Finish(ctx, got, response).
//	case got.State == claim.Finished: // Return got.Response.
//	case got.State == claim.Held: // Report Unknown.
//	case got.State == claim.Mismatch: // Refuse as NotRun with status 422.
//	}
package claim

import (
	"time"

	"github.com/joomcode/errorx"
)

// State is the state of a claim in the table.
type State string

const (
	// Won means that this client, and no other, may run the request.
	Won State = "Won"
	// Finished means that the request ran before; the claim holds its response.
	Finished State = "Finished"
	// Held means that another attempt holds the claim, and that the request may have run.
	Held State = "Held"
	// Mismatch means that the key was used for a request with different content.
	Mismatch State = "Mismatch"
)

// Key identifies a request that is not idempotent.
type Key struct {
	Workspace string   `json:"Workspace"`
	Key       string   `json:"Key"`     // Key is the client's idempotency key.
	Content   [32]byte `json:"Content"` // Content is a hash of the request.
}

// Response is the first response of a finished request.
type Response struct {
	Status      int    `json:"Status"`
	ContentType string `json:"ContentType,omitempty"`
	Body        []byte `json:"Body,omitempty"`
	Omitted     bool   `json:"Omitted,omitempty"` // Omitted means that the body exceeded the limit and was not stored.
}

// Claim is a claim on a key and its state.
type Claim struct {
	ID       string    `json:"ID"`                 // ID is the claim's ID in the table.
	State    State     `json:"State"`              // State is Won for at most one claim ID of a key.
	Response Response  `json:"Answer,omitzero"`    // Response is set if State is Finished.
	Key      Key       `json:"Key"`                // Key is the key claimed.
	Revision uint64    `json:"Revision,omitempty"` // Revision is the row's revision, which Finish and Abandon expect.
	Holder   string    `json:"Holder"`             // Holder is the instance that made the claim.
	At       time.Time `json:"At"`                 // At is the time of the claim by the holder's clock.
}

var namespace = errorx.NewNamespace("claim").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	// ErrUnavailable means that the claim was not obtained, or that a response could not be stored.
	ErrUnavailable error = namespace.NewType("unavailable").New("claims are not available")
	// ErrNotHeld means that the claim is no longer in the table.
	ErrNotHeld error = namespace.NewType("lost").New("the claim is no longer held")
)
