package operator

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

// ConfigLog is the log of configuration versions. All methods may return ErrUnavailable.
type ConfigLog interface {
	// Current returns the newest accepted configuration.
	Current(ctx context.Context) (api.Current, error)
	// Preview returns the newest version and the configuration that would result from the change,
	// without applying it. It returns a *finding.Error if documents of the change cannot be parsed.
	Preview(ctx context.Context, change api.Change) (base uint64, after *configuration.Configuration, err error)
	// Apply applies the change if the newest version is change.Expected. If it is not, Apply succeeds
	// if the same change was already applied under its ID, and otherwise returns a *ConflictError.
	// Apply returns ErrUnknown if the change may have been applied.
	Apply(ctx context.Context, change api.Change) (api.Head, error)
	// History returns at most limit changes, newest first.
	History(ctx context.Context, limit int) ([]api.Change, error)
	// Rollback creates a new version with the content of an earlier one. It returns the errors of
	// Apply, and ErrNotFound if the earlier version does not exist.
	Rollback(ctx context.Context, rollback api.Rollback) (api.Head, error)
}

// Fleet provides the state of this instance, of the other instances and of the targets. Except in States, the
// state of others is what this instance received last.
type Fleet interface {
	// State returns the state dump of this instance.
	State(ctx context.Context) (api.State, error)
	// States returns the state dumps of the live instances that respond in time.
	States(ctx context.Context) ([]api.State, error)
	Instances(ctx context.Context) ([]api.Instance, error)
	Pipelines(ctx context.Context) ([]api.Pipeline, error)
	Plan(ctx context.Context) (api.Plan, error)
}

// Drainer manages the drains that operators started. A drained target gets no new requests.
type Drainer interface {
	Drains(ctx context.Context) ([]api.Drain, error)
	// Drain drains a target. It also succeeds for a target that is already drained. It may return
	// ErrNotFound if there is no such target.
	Drain(ctx context.Context, drain api.Drain) error
	// Undrain ends the drain of a target. It returns ErrNotFound if the target is not drained.
	Undrain(ctx context.Context, target string) error
}

// Authenticator identifies operators by their key. *configuration.Configuration implements it. A server
// whose configuration changes needs an AuthenticatorFunc that uses the active configuration.
type Authenticator interface {
	AuthenticateOperator(key string) (name string, ok bool)
}

// AuthenticatorFunc is an adapter that allows the use of a function as an Authenticator.
type AuthenticatorFunc func(key string) (name string, ok bool)

// AuthenticateOperator calls f.
func (f AuthenticatorFunc) AuthenticateOperator(key string) (string, bool) {
	return f(key)
}

var namespace = errorx.NewNamespace("operator").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Errors of ConfigLog, Fleet and Drainer that have their own response code.
var (
	// ErrUnavailable means that a store is unavailable and nothing was changed.
	ErrUnavailable = namespace.NewType("unavailable").New("a store is not available; nothing was changed")
	// ErrUnknown means that it is unknown whether the change was applied.
	ErrUnknown = namespace.NewType("unknown").New("the change may have been made")
	// ErrNotFound means that the version, target or drain does not exist.
	ErrNotFound = namespace.NewType("not_found").New("not found")
)

// ConflictError means that another change was applied first and nothing was changed.
type ConflictError struct {
	ConflictingChange api.Change // ConflictingChange is the change that was applied first.
}

// Error describes the conflicting change.
func (e *ConflictError) Error() string {
	return api.DescribeConflict(e.ConflictingChange)
}
