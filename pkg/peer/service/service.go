// Package service is the HTTP client for plain services, such as orders and stock.
//
// If a target fails, an idempotent request is retried on another target, within the retry budget. A
// non-idempotent request must first win the claim on its idempotency key: of all requests with the same key, only the
// one that wins the claim is dispatched, at most once. Its response, the first response, is stored and returned to all
// later requests with that key. To dispatch a request is to send it to one target.
//
// Usage:
//
//	client := service.New(targets, claimer, service.WithRetryBudget(budget))
//	response, err := client.Do(ctx, service.Request{Workspace: "north", Service: "orders", Method: "POST", Path: "kits",
//		IdempotencyKey: "7f3a", Body: body})
//	if err != nil {
//		refused := refusal.FromError(err) // The refusal has the outcome and the time to wait before a retry.
//	}
package service

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/cuminroute/cuminroute/pkg/target"
)

// Request is a request to a service. Its deadline is that of the context passed to Client.Do.
type Request struct {
	ID             string
	Workspace      string
	Service        string
	Kind           string // Kind is the name of the configured request kind. It is used in messages only.
	Method         string
	Path           string // Path is the path below the target's root, without the leading slash.
	Query          string
	ContentType    string
	Accept         string
	Body           []byte
	Idempotent     bool
	IdempotencyKey string // IdempotencyKey is the client's Idempotency-Key header.
}

// contentHash returns the hash of everything that must be equal in all requests with the same key.
func (r Request) contentHash() [32]byte {
	h := sha256.New()
	for _, part := range []string{r.Service, r.Method, r.Path, r.Query, r.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return [32]byte(h.Sum(nil))
}

// Response is the response of a target.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool // Replayed marks the stored response to an earlier request with the same key.
	Omitted     bool // Omitted marks a replayed response whose body was too large to store.
}

// Targets returns the current targets of a service.
type Targets func(service string) []target.Target

// ClaimKey identifies a non-idempotent request.
type ClaimKey struct {
	Workspace string
	Key       string   // Key is the idempotency key.
	Content   [32]byte // Content is the hash of the request. Requests with the same key must have the same hash.
}

// ClaimState is the state of a claim.
type ClaimState string

const (
	// Won means that this request holds the claim and may be dispatched.
	Won ClaimState = "Won"
	// Finished means that an earlier request won the claim and its response is stored.
	Finished ClaimState = "Finished"
	// Held means that an earlier request won the claim and has no stored response, so that its outcome is unknown.
	Held ClaimState = "Held"
	// Mismatch means that the key was used with different content.
	Mismatch ClaimState = "Mismatch"
)

// Claim is a claim on an idempotency key.
type Claim struct {
	ID       string
	State    ClaimState
	Response Response // Response is the first response if the state is Finished.
	Handle   any      // Handle is the claimer's own representation of the claim. Finish and Abandon receive it.
}

// Claimer decides which request with a key is dispatched. It is implemented by an adapter of claim.Claimer.
type Claimer interface {
	// Claim tries to win the claim on a key. After an error the request must not be dispatched.
	Claim(ctx context.Context, key ClaimKey) (Claim, error)
	// Finish stores the first response.
	Finish(ctx context.Context, claim Claim, response Response) error
	// Abandon releases a claim whose request has certainly not run.
	Abandon(ctx context.Context, claim Claim) error
}

// RetryBudget limits retries. It is implemented by retry.Budget.
type RetryBudget interface {
	// RecordRequest counts a request towards the number of retries that key may make.
	RecordRequest(key string, now time.Time)
	// Allow reports whether key may make a retry now, and if so takes the retry from the budget.
	Allow(key string, now time.Time) bool
}

// DrainCounter counts work that a graceful shutdown waits for. It is implemented by drain.Counter.
type DrainCounter interface {
	// EnterDependent counts work until leave is called.
	EnterDependent() (leave func())
}
