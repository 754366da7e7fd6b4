package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/proxy"
	"github.com/cuminroute/cuminroute/pkg/relay"
	"github.com/cuminroute/cuminroute/pkg/requestbody"
	"github.com/cuminroute/cuminroute/pkg/revision"
	"github.com/cuminroute/cuminroute/pkg/target"
)

var (
	namespace = errorx.NewNamespace("station")
	// Unavailable is the type of errors of calls to which the store gave no answer.
	Unavailable = namespace.NewType("unavailable")
	// ErrCompacted reports that the store no longer keeps the changes after a revision.
	ErrCompacted = namespace.NewType("history").New("the store no longer keeps the requested changes")
	// ErrOlderEra reports that a write names a revision of an older era of the store.
	ErrOlderEra = namespace.NewType("era").New("the row to be replaced is of an older era of the store")
	// AssignmentRefused is the type of errors of assignments that a target refused.
	AssignmentRefused = namespace.NewType("order")
	// ErrFenced reports that a target has seen a higher fencing token.
	ErrFenced     = namespace.NewType("fenced").New("a target has seen a higher fencing token")
	errListen     = namespace.NewType("listen")
	errTargetRows = namespace.NewType("target_rows")
)

// Row is one row of the store.
type Row struct {
	Name     string
	Value    []byte
	Revision revision.Revision
	Removed  bool
}

// Change holds the changes of a table up to a revision. If Full is set, Rows are all rows of the table.
type Change struct {
	Rows     []Row
	Revision revision.Revision
	Full     bool
}

// Store is the platform's store, which may come back from an older copy with a new era; see package revision. The watch
// methods return after the wait if nothing has changed, and return ErrCompacted if the changes after the revision are no
// longer kept, or if the revision is of an older era. No method returns rows of an older era than an earlier call did.
type Store interface {
	Configuration(ctx context.Context) (Change, error)
	WatchConfiguration(ctx context.Context, after revision.Revision, wait time.Duration) (Change, error)
	Targets(ctx context.Context) (Change, error)
	// SmallTargets returns the whole list of targets if it has at most limit entries, and otherwise reports false. It is one call.
	SmallTargets(ctx context.Context, limit int) (c Change, whole bool, err error)
	WatchTargets(ctx context.Context, after revision.Revision, wait time.Duration) (Change, error)
	// Get returns one of the rows that the instances themselves write, such as the lease.
	Get(ctx context.Context, name string) (Row, error)
	// CompareAndSwap writes such a row if its stored revision is still row.Revision. It returns the stored row after
	// the call and whether the row was written. It fails with ErrOlderEra, without a write, if row.Revision is known to
	// be of an older era.
	CompareAndSwap(ctx context.Context, row Row) (Row, bool, error)
}

// Assignment orders an engine to hold a layer range.
type Assignment struct {
	Target       target.Target // Target.Assignments is the number of assignments that the target must have accepted before.
	Layers       layer.Range
	FencingToken uint64
}

// Report is the state that an engine reports.
type Report struct {
	Assignments uint64
	Busy        bool // Busy means that the engine is carrying out an assignment.
	Layers      layer.Range
	KVCells     int64   // KVCells is the KV cache memory in use, in tokens times layers.
	Slowdown    float64 // Slowdown is above 1 if the engine is slower than usual.
}

// TargetControl sends assignments to engines and reads their reports.
type TargetControl interface {
	Assign(ctx context.Context, a Assignment) error
	Report(ctx context.Context, t target.Target) (Report, error)
}

// Platform adapts an instance to the platform around it.
type Platform struct {
	Store         Store
	TargetControl TargetControl
	Upstream      proxy.Upstream
	// Dialer opens the connections of Upstream and TargetControl, through other instances where a link has failed. Nil means that
	// they connect directly only.
	Dialer *relay.Dialer
	// ConfigurationKey is the name of the configuration's row.
	ConfigurationKey    string
	DecodeConfiguration func(content []byte) (*catalogue.Catalogue, error)
	DecodeTarget        func(name string, content []byte) (target.Target, error)
	// NewHandler returns the handler of client requests. limits returns the limits of the active configuration. The
	// handler calls enter when a request starts and end when it has ended; closing reports whether the request's
	// connection must be closed after the response. After an error of enter, the handler must refuse the request with it. It
	// reads the bodies of requests with bodies.
	NewHandler func(server *proxy.Server, limits func() catalogue.Limits, enter func() (end func(), closing bool, err error), bodies *requestbody.Reader) http.Handler
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
	// Reload reads the settings again.
	Reload func() (Settings, error)
}
