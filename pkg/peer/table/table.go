// Package table is the client of the platform's transactional table service.
//
// The service uses JSON over HTTP. POST /v1/transactions runs a transaction of conditions and writes atomically: the
// writes take effect if every condition holds, and otherwise the response has the rows that did not match.
// GET /v1/rows/<key> reads a row and GET /v1/rows?prefix=&after=&limit= reads rows in key order.
//
// Every committed transaction has a revision, and each row has the revision of the last transaction that wrote it.
//
// A failed call returns one of three errors. ErrUnavailable means that nothing was written. ErrUnknown means that the
// writes may have taken effect, or may still do so; the code that sent the transaction has to find out, usually by
// sending the same conditional writes again and comparing an identifier in the row found. ErrNotFound means that a row is
// absent. Reads never return ErrUnknown.
//
// The client does not retry: whether a retry is safe depends on the transaction.
//
// Usage:
//
//	c := table.New("http://10.0.0.5:7400", table.WithTimeout(time.Second))
//	res, err := c.Commit(ctx, table.Transaction{
//		Conditions: []table.Condition{{Key: "leases/orders", Revision: 0}},
//		Writes:     []table.Write{{Key: "leases/orders", Value: value}},
//	})
//	if errors.Is(err, table.ErrUnknown) {
//		// Send it again, or read the row back.
//	}
package table

import "github.com/joomcode/errorx"

// Row is one row of the table. A row with Revision 0 is absent.
type Row struct {
	Key      string `json:"Key"`
	Value    []byte `json:"Value"`
	Revision uint64 `json:"Revision"` // Revision is the revision of the last transaction that wrote the row.
}

// Condition holds if the row has exactly this revision. The condition Revision 0 holds if the row is absent.
type Condition struct {
	Key      string `json:"Key"`
	Revision uint64 `json:"Revision"`
}

// Write writes or deletes one row.
type Write struct {
	Key    string `json:"Key"`
	Value  []byte `json:"Value,omitempty"`
	Delete bool   `json:"Delete,omitempty"`
}

// Transaction is a set of writes that are applied atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition `json:"Conditions"`
	Writes     []Write     `json:"Writes"`
}

// Result is the result of a transaction.
type Result struct {
	Committed bool   `json:"Committed"`
	Revision  uint64 `json:"Revision,omitempty"` // Revision is the revision of every row written, if committed.
	Failed    []Row  `json:"Failed,omitempty"`   // Failed has the current rows of the conditions that did not hold.
}

var namespace = errorx.NewNamespace("table").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	unavailable = namespace.NewType("unavailable")
	unknown     = namespace.NewType("unknown")
	notFound    = namespace.NewType("not_found", errorx.NotFound())
	rateLimited = namespace.NewType("rate_limited", errorx.Temporary())
)

var (
	// ErrUnavailable means that the call failed and that nothing was written.
	ErrUnavailable error = unavailable.New("the table service is not available")
	// ErrRateLimited is wrapped together with ErrUnavailable if the service refused a call above its rate limit.
	ErrRateLimited error = rateLimited.New("the table service limits its rate")
	// ErrUnknown means that the writes may have taken effect, or may still do so.
	ErrUnknown error = unknown.New("it is not known whether the write took effect")
	// ErrNotFound means that the row is absent.
	ErrNotFound error = notFound.New("no such row")
)
