package proxy

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/decision/quarantine"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// Request is one request of a caller, read to its end.
type Request struct {
	ID         string // ID names this attempt of the caller.
	Method     string
	URI        string // URI is the path and query as the caller sent them.
	Path       string
	Host       string
	Key        string // Key is the caller's API key.
	Header     http.Header
	Body       []byte
	ReceivedAt time.Time
	// Deadline is when the caller stops waiting; zero means that it did not say.
	Deadline time.Time
	Tokens   TokenCounts
	// LastEventID is the last event of the stream that the caller holds already.
	LastEventID string
}

// TokenCounts is what a caller says of the size of a request to a model.
type TokenCounts struct {
	Prompt     int // Prompt is the number of tokens to read.
	Output     int // Answer is the most tokens of the answer.
	LengthHint int // Hint is the caller's estimate of the answer's tokens, 0 if there is none.
}

// Attempt is one sending of a call to a target.
type Attempt struct {
	Request   *Request
	Workspace string
	Priority  int // Rank orders requests at a target; 0 comes first.
	// Path has one part without layers for a plain target.
	Path path.Path
	// Timeout is the time in which the answer is wanted.
	Timeout time.Duration
	// LastEventID replaces the call's LastEventID.
	LastEventID string
	// MaxIdle bounds the idle time of a connection used for it.
	MaxIdle time.Duration
}

// Response is the head of a target's answer. Finish must be called after the body was read to its end, Abort in all
// other cases.
type Response struct {
	Status        int
	Header        http.Header // Header holds the end-to-end fields.
	Body          io.Reader
	ContentLength int64 // Length is -1 if it is not known.
	Release       func()
	Abort         func()
}

// AttemptError is an attempt without an answer of the target.
type AttemptError struct {
	// NotRun means that the request has not run and never will.
	NotRun bool
	// Sent means that bytes of the request have left.
	Sent bool
	// Misdirected means that another target has the address.
	Misdirected bool
	// Refused means that the target itself refused, so that it is alive.
	Refused bool
	// FailedTarget is the target at fault if the answer names one.
	FailedTarget netip.AddrPort
	Cause        error
}

// Error implements error.
func (f *AttemptError) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *AttemptError) Unwrap() error { return f.Cause }

// Upstream sends requests to targets. It is declared here, where it is used.
type Upstream interface {
	// Open sends an attempt and returns the head of the answer. Its errors are of type *Failure. The context
	// bounds the whole exchange.
	Open(ctx context.Context, a Attempt) (*Response, error)
	// ChangePath asks the first target of a running request to go on along another path.
	ChangePath(ctx context.Context, id string, p path.Path) error
	// Probe reports whether the target's machine accepts connections.
	Probe(ctx context.Context, t target.Target) error
}

// CrashTracker keeps what is known of requests that crash targets.
type CrashTracker interface {
	// RequestStarted notes that a request is sent to a target, RequestProgressed that it came through, RequestFinished that it ended there.
	RequestStarted(request string, fingerprint uint64, target string)
	RequestProgressed(request string)
	RequestFinished(request, target string)
	// TargetCrashed notes that a target crashed, before the requests there are finished.
	TargetCrashed(target string, now time.Time)
	// RequestCompleted notes that a request with the content was answered in full.
	RequestCompleted(fingerprint uint64)
	// Check returns what is known of a content, MayRun whether it may be started on a target.
	Check(fingerprint uint64, now time.Time) quarantine.Verdict
	MayRun(request string, fingerprint uint64, target string, now time.Time) bool
}

// Snapshot is what an instance knows of the configuration and the targets.
type Snapshot struct {
	Catalogue *catalogue.Catalogue
	Targets   map[string]*Pool // Targets holds the targets of each service.
}

// SnapshotSource gives the present view.
type SnapshotSource interface {
	// Snapshot returns the view, or nil while no configuration is known.
	Snapshot() *Snapshot
	// Fresh reports whether the configuration is known to be recent enough for requests with a key.
	Fresh() bool
	// ConfigurationAge is how long ago the configuration was known to be the newest.
	ConfigurationAge() time.Duration
}
