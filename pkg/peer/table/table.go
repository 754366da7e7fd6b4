// Package table is the client of the platform's transactional table service.
//
// The service speaks HTTP with JSON. POST /v1/transactions takes conditions and writes and is
// all or nothing: the writes take effect if every condition holds, and otherwise the answer
// holds the rows that did not match. GET /v1/rows/<key> reads a row and
// GET /v1/rows?prefix=&after=&limit= reads rows in key order.
//
// A failed call has one of three errors. ErrUnavailable proves that nothing was written.
// ErrUnknown means that the write may have taken effect, or may still do so; the caller has to
// resolve it, usually by sending the same conditional write again and comparing an identifier in
// the row found. ErrNotFound is the answer for an absent row. Reads never return ErrUnknown.
//
// The client does not retry: whether a repeat is safe depends on the transaction.
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
	Revision uint64 `json:"Revision"` // Revision is that of the transaction that wrote the row last.
}

// Condition holds if the row has exactly this revision. Revision 0 means that the row is absent.
type Condition struct {
	Key      string `json:"Key"`
	Revision uint64 `json:"Revision"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"Key"`
	Value  []byte `json:"Value,omitempty"`
	Delete bool   `json:"Delete,omitempty"`
}

// Transaction is a set of writes that take effect together if all conditions hold.
type Transaction struct {
	Conditions []Condition `json:"Conditions"`
	Writes     []Write     `json:"Writes"`
}

// Result is the answer to a transaction.
type Result struct {
	Committed bool   `json:"Committed"`
	Revision  uint64 `json:"Revision,omitempty"` // Revision is the revision of every row written, if committed.
	Failed    []Row  `json:"Failed,omitempty"`   // Failed holds the rows whose conditions did not hold, as they are.
}

var namespace = errorx.NewNamespace("table").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	unavailable = namespace.NewType("unavailable")
	unknown     = namespace.NewType("unknown")
	notFound    = namespace.NewType("not_found", errorx.NotFound())
	rateLimited = namespace.NewType("rate_limited", errorx.Temporary())
)

var (
	// ErrUnavailable means that the service did not answer and nothing was written.
	ErrUnavailable error = unavailable.New("the table service is not available")
	// ErrRateLimited accompanies ErrUnavailable where the service refused a call above its rate.
	ErrRateLimited error = rateLimited.New("the table service limits its rate")
	// ErrUnknown means that the write may have taken effect, or may still do so.
	ErrUnknown error = unknown.New("it is not known whether the write took effect")
	// ErrNotFound means that the row is absent.
	ErrNotFound error = notFound.New("no such row")
)
