package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/target"
)

var (
	namespace = errorx.NewNamespace("station")
	// Unavailable is the type of errors of a store that gave no answer.
	Unavailable = namespace.NewType("unavailable")
	// ErrCompacted reports that the changes after a revision are not kept any more.
	ErrCompacted = namespace.NewType("history").New("the changes asked for are not kept any more")
	// ErrAssignmentRefused is the type of errors of orders that a target refused.
	ErrAssignmentRefused = namespace.NewType("order")
	// ErrFenced reports that a target has seen a higher fencing number.
	ErrFenced = namespace.NewType("fenced").New("a target has seen a higher fencing number")
	errListen = namespace.NewType("listen")
)

// Row is one row of the store.
type Row struct {
	Name     string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Change is what has changed in a table up to a revision. Whole means that Rows are all there are.
type Change struct {
	Rows     []Row
	Revision uint64
	Full     bool
}

// Store is the platform's store. Watch calls return after the wait if nothing changed. They return ErrHistory if the
// changes after the revision are not kept any more.
type Store interface {
	Configuration(ctx context.Context) (Change, error)
	WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (Change, error)
	Targets(ctx context.Context) (Change, error)
	WatchTargets(ctx context.Context, after uint64, wait time.Duration) (Change, error)
	// Get returns one of the product's own rows.
	Get(ctx context.Context, name string) (Row, error)
	// CompareAndSwap writes one of them if it still has the revision, and returns the row as it is then.
	CompareAndSwap(ctx context.Context, row Row) (Row, bool, error)
}

// Assignment tells an engine which layers to hold.
type Assignment struct {
	Target       target.Target // Target.Orders is how many orders it must have accepted before.
	Layers       layer.Range
	FencingToken uint64
}

// Report is what an engine says of itself.
type Report struct {
	Assignments uint64
	Busy        bool // Busy means that an order is being carried out.
	Layers      layer.Range
	KVCells     int64   // Cells is the memory in use, in tokens times layers.
	Slowdown    float64 // Slow is above 1 if the engine is slower than usual.
}

// TargetControl asks and orders engines.
type TargetControl interface {
	Assign(ctx context.Context, o Assignment) error
	Report(ctx context.Context, t target.Target) (Report, error)
}

// Platform is how an instance speaks to what is around it.
type Platform struct {
	Store         Store
	TargetControl TargetControl
	Upstream      proxy.Upstream
	// ConfigurationKey is the row of the configuration.
	ConfigurationKey    string
	DecodeConfiguration func(content []byte) (*catalogue.Catalogue, error)
	DecodeTarget        func(name string, content []byte) (target.Target, error)
	// NewHandler returns the handler of the callers' address. Limits are those in force; enter counts a request in and
	// reports whether its connection must be closed after the answer.
	NewHandler func(server *proxy.Server, limits func() catalogue.Limits, enter func() (end func(), closing bool)) http.Handler
	// ReadyPath is the path of the question for readiness.
	ReadyPath string
	// Reload reads the settings again.
	Reload func() (Settings, error)
}
