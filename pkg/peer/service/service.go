// Package service sends requests to plain services, such as orders and stock.
//
// An idempotent request is sent to another target when one fails, within the retry budget. A request
// that may not be repeated is claimed first, is dispatched at most once, and its first answer is stored
// and given to every repeat.
//
// Usage:
//
//	client := service.New(targets, claimer, service.WithRetryBudget(budget))
//	answer, err := client.Do(ctx, service.Request{Workspace: "north", Service: "orders", Method: "POST", Path: "kits",
//		IdempotencyKey: "7f3a", Body: body})
//	if err != nil {
//		refused := refusal.FromError(err) // It holds the outcome and the time to come back.
//	}
package service

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/cuminroute/cuminroute/pkg/target"
)

// Request is one request for a service. The caller's deadline is that of the context.
type Request struct {
	ID             string
	Workspace      string
	Service        string
	Kind           string
	Method         string
	Path           string // Path is the path below the target's root, without the leading slash.
	Query          string
	ContentType    string
	Accept         string
	Body           []byte
	Idempotent     bool
	IdempotencyKey string // Key is the caller's Idempotency-Key.
}

// content is the hash of everything that a repeat with the same key must have in common.
func (r Request) content() [32]byte {
	h := sha256.New()
	for _, part := range []string{r.Service, r.Method, r.Path, r.Query, r.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return [32]byte(h.Sum(nil))
}

// Response is what a target answered.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool // Replayed marks the stored answer of an earlier request with the same key.
	Omitted     bool // Omitted marks a replayed answer whose body was too large to store.
}

// Targets returns the targets of a service, from the snapshot in force.
type Targets func(service string) []target.Target

// ClaimKey names a request that may not be repeated.
type ClaimKey struct {
	Workspace string
	Key       string
	Content   [32]byte
}

// ClaimState is the state of a claim.
type ClaimState string

const (
	// Won means that this request holds the claim and may be dispatched.
	Won ClaimState = "Won"
	// Finished means that an earlier request has finished with the ticket's answer.
	Finished ClaimState = "Finished"
	// Held means that an earlier request holds the claim and its outcome is not known.
	Held ClaimState = "Held"
	// Mismatch means that the key was used with other content.
	Mismatch ClaimState = "Mismatch"
)

// Claim is the result of a claim.
type Claim struct {
	ID       string
	State    ClaimState
	Response Response
	Handle   any // Handle is the claimer's own form of the ticket, which comes back to it in Finish and Abandon.
}

// Claimer decides which request with a key is dispatched. It is claim.Clerk behind an adapter.
type Claimer interface {
	// Claim returns an error only where the claim was not won, so that nothing may be dispatched.
	Claim(ctx context.Context, key ClaimKey) (Claim, error)
	Finish(ctx context.Context, ticket Claim, answer Response) error
	// Abandon gives up a claim whose request provably did not run.
	Abandon(ctx context.Context, ticket Claim) error
}

// RetryBudget limits retries. It is retry.RetryBudget.
type RetryBudget interface {
	RecordRequest(key string, now time.Time)
	Allow(key string, now time.Time) bool
}

// DrainCounter counts work that must end before a planned stop. It is drain.Counter.
type DrainCounter interface {
	EnterDependent() (leave func())
}
