package operator

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

// ConfigLog is the versioned configuration. Every method may return ErrUnavailable.
type ConfigLog interface {
	// Current returns the newest accepted configuration.
	Current(ctx context.Context) (api.Current, error)
	// Preview returns the version that the log has now and the configuration that the change
	// would make of it. It changes nothing. Documents that cannot be read are a *finding.Error.
	Preview(ctx context.Context, change api.Change) (base uint64, after *configuration.Configuration, err error)
	// Apply makes the change if the newest version is change.Expected or the change was made before
	// under the same ID; otherwise it returns a *ConflictError. It returns ErrUnknown if the change
	// may have been made.
	Apply(ctx context.Context, change api.Change) (api.Head, error)
	// History returns at most limit changes, the newest first.
	History(ctx context.Context, limit int) ([]api.Change, error)
	// Rollback makes the content of an earlier version the newest version, with the errors of Apply
	// and ErrNotFound.
	Rollback(ctx context.Context, rollback api.Rollback) (api.Head, error)
}

// Fleet is what the answering instance knows of itself, its peers and the targets.
type Fleet interface {
	State(ctx context.Context) (api.State, error)
	// States returns the state dumps of the live instances that answer in time.
	States(ctx context.Context) ([]api.State, error)
	Instances(ctx context.Context) ([]api.Instance, error)
	Pipelines(ctx context.Context) ([]api.Pipeline, error)
	Plan(ctx context.Context) (api.Plan, error)
}

// Drainer keeps the targets that get no new work by order of an operator.
type Drainer interface {
	Drains(ctx context.Context) ([]api.Drain, error)
	// Drain adds a drain; draining a drained target again is no error. It may return ErrNotFound if
	// there is no such target.
	Drain(ctx context.Context, drain api.Drain) error
	// Undrain removes a drain. It returns ErrNotFound if there is none.
	Undrain(ctx context.Context, target string) error
}

// Authenticator tells operators by their key. *configuration.Configuration is one; a server that
// outlives a configuration passes a function that reads the one in force.
type Authenticator interface {
	AuthenticateOperator(key string) (name string, ok bool)
}

// AuthenticatorFunc is a function as an Authenticator.
type AuthenticatorFunc func(key string) (name string, ok bool)

// AuthenticateOperator calls f.
func (f AuthenticatorFunc) AuthenticateOperator(key string) (string, bool) {
	return f(key)
}

var namespace = errorx.NewNamespace("operator").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Errors of Log, Fleet and Drains that the server answers with a code of their own.
var (
	// ErrUnavailable means that a store is down and nothing was changed.
	ErrUnavailable = namespace.NewType("unavailable").New("a store is not available; nothing was changed")
	// ErrUnknown means that the change may have been made.
	ErrUnknown = namespace.NewType("unknown").New("the change may have been made")
	// ErrNotFound means that the named version, target or drain does not exist.
	ErrNotFound = namespace.NewType("not_found").New("not found")
)

// ConflictError is a lost race: another change came first and nothing was changed.
type ConflictError struct {
	ConflictingChange api.Change // ConflictingChange is the change that came first.
}

// Error names the other change.
func (e *ConflictError) Error() string {
	return api.DescribeConflict(e.ConflictingChange)
}
