// Package claim lets a request that may not be repeated run at most once.
//
// A request is claimed in the table service before its first byte leaves. The claim is a
// conditional insert of a row for (workspace, key) with a unique claim ID, so the table decides
// which of several instances wins. Only the winner may dispatch the request. A repeat is told
// what became of the first one: its answer if it finished, and otherwise that it is held. A held
// claim is never given to another caller, even if its holder died: its request may have run, so
// callers are told Unknown.
//
// Claims, answers and withdrawals of one instance are gathered into one transaction. The first
// operation after a pause goes at once. After that a transaction starts when the one before has
// ended and the gathering time has passed since it started. While the table refuses transactions
// above its rate, the gathering time grows, up to 250 ms, and claims wait up to 2 s instead of
// failing. A row that conflicts is taken out and the rest is tried again. When an answer of the table is lost, the same transaction is sent
// again: if it had taken effect, its conditions fail and the rows found hold this claim's ID.
//
// Every error of Claim means that the caller must not run the request and may report NotRun. After
// such an error the clerk withdraws a claim that took effect after all. If it cannot, repeats
// within the retention are told Unknown although nothing ran.
//
// A key is remembered for 24 h. The key carries no time, so an older one is a new request.
//
// An answer with a body above the limit (32 KiB by default) is stored as status and content type
// only, with Omitted set: a repeat learns that the request ran and how it ended, not the body.
//
// Usage:
//
//	clerk := claim.New(tableClient, "entry-3")
//	defer clerk.Close()
//	ticket, err := clerk.Claim(ctx, claim.Key{Workspace: "w1", Key: "order-17", Content: sha256.Sum256(body)})
//	switch {
//	case err != nil: // Refuse as NotRun.
//	case ticket.State == claim.Won: // Dispatch, then clerk.Finish(ctx, ticket, answer).
//	case ticket.State == claim.Finished: // Send ticket.Response.
//	case ticket.State == claim.Held: // Report Unknown.
//	case ticket.State == claim.Mismatch: // Refuse as NotRun with status 422.
//	}
package claim

import (
	"time"

	"github.com/joomcode/errorx"
)

// State is what the table says about a claim.
type State string

const (
	// Won means that this caller, and no other, may run the request.
	Won State = "Won"
	// Finished means that the request ran before; the ticket holds its answer.
	Finished State = "Finished"
	// Held means that another attempt holds the claim and the request may have run.
	Held State = "Held"
	// Mismatch means that the key was used for a request with other content.
	Mismatch State = "Mismatch"
)

// Key identifies a request that may not be repeated.
type Key struct {
	Workspace string   `json:"Workspace"`
	Key       string   `json:"Key"`     // Key is the caller's idempotency key.
	Content   [32]byte `json:"Content"` // Content is a hash of the request.
}

// Response is the first answer of a finished request.
type Response struct {
	Status      int    `json:"Status"`
	ContentType string `json:"ContentType,omitempty"`
	Body        []byte `json:"Body,omitempty"`
	Omitted     bool   `json:"Omitted,omitempty"` // Omitted reports that the body was above the limit and was not stored.
}

// Claim is the result of a claim.
type Claim struct {
	ID       string    `json:"ID"`                 // ID is the ID of the claim in the table.
	State    State     `json:"State"`              // State is Won for one ticket of a key.
	Response Response  `json:"Answer,omitzero"`    // Response is set if State is Finished.
	Key      Key       `json:"Key"`                // Key is the key claimed.
	Revision uint64    `json:"Revision,omitempty"` // Revision is that of the row, for Finish and Abandon.
	Holder   string    `json:"Holder"`             // Holder is the instance that made the claim.
	At       time.Time `json:"At"`                 // At is when the claim was made, by its holder's clock.
}

var namespace = errorx.NewNamespace("claim").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	// ErrUnavailable means that the claim was not obtained, or that an answer could not be stored.
	ErrUnavailable error = namespace.NewType("unavailable").New("claims are not available")
	// ErrNotHeld means that the ticket's claim is no longer in the table.
	ErrNotHeld error = namespace.NewType("lost").New("the claim is no longer held")
)
