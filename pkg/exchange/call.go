package exchange

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

// Call is one request of a caller, read to its end.
type Call struct {
	ID      string // ID names this attempt of the caller.
	Method  string
	URI     string // URI is the path and query as the caller sent them.
	Path    string
	Host    string
	Key     string // Key is the caller's API key.
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero means that it did not say.
	Deadline time.Time
	Work     Work
	// After is the last event of the stream that the caller holds already.
	After string
}

// Work is what a caller says of the size of a request to a model.
type Work struct {
	Prompt int // Prompt is the number of tokens to read.
	Answer int // Answer is the most tokens of the answer.
	Hint   int // Hint is the caller's estimate of the answer's tokens, 0 if there is none.
}

// Attempt is one sending of a call to a target.
type Attempt struct {
	Call      *Call
	Workspace string
	Rank      int // Rank orders requests at a target; 0 comes first.
	// Path has one part without layers for a plain target.
	Path path.Path
	// Left is the time in which the answer is wanted.
	Left time.Duration
	// After replaces the call's After.
	After string
	// Reuse bounds the idle time of a connection used for it.
	Reuse time.Duration
}

// Answer is the head of a target's answer. Finish must be called after the body was read to its end, Abort in all
// other cases.
type Answer struct {
	Status int
	Header http.Header // Header holds the end-to-end fields.
	Body   io.Reader
	Length int64 // Length is -1 if it is not known.
	Finish func()
	Abort  func()
}

// Failure is an attempt without an answer of the target.
type Failure struct {
	// NotRun means that the request has not run and never will.
	NotRun bool
	// Sent means that bytes of the request have left.
	Sent bool
	// Misdirected means that another target has the address.
	Misdirected bool
	// Refused means that the target itself refused, so that it is alive.
	Refused bool
	// Culprit is the target at fault if the answer names one.
	Culprit netip.AddrPort
	Cause   error
}

// Error implements error.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Upstream sends requests to targets. It is declared here, where it is used.
type Upstream interface {
	// Open sends an attempt and returns the head of the answer. Its errors are of type *Failure. The context
	// bounds the whole exchange.
	Open(ctx context.Context, a Attempt) (*Answer, error)
	// Repath asks the first target of a running request to go on along another path.
	Repath(ctx context.Context, id string, p path.Path) error
	// Probe reports whether the target's machine accepts connections.
	Probe(ctx context.Context, t target.Target) error
}

// Ledger keeps what is known of requests that crash targets.
type Ledger interface {
	// Start notes that a request is sent to a target, Progress that it came through, Finish that it ended there.
	Start(request string, fingerprint uint64, target string)
	Progress(request string)
	Finish(request, target string)
	// Crash notes that a target crashed, before the requests there are finished.
	Crash(target string, now time.Time)
	// Completed notes that a request with the content was answered in full.
	Completed(fingerprint uint64)
	// Check returns what is known of a content, MayRun whether it may be started on a target.
	Check(fingerprint uint64, now time.Time) quarantine.Verdict
	MayRun(request string, fingerprint uint64, target string, now time.Time) bool
}

// View is what an instance knows of the configuration and the targets.
type View struct {
	Catalogue *catalogue.Catalogue
	Targets   map[string]*Pool // Targets holds the targets of each service.
}

// Views gives the present view.
type Views interface {
	// View returns the view, or nil while no configuration is known.
	View() *View
	// Fresh reports whether the configuration is known to be recent enough for requests with a key.
	Fresh() bool
	// ProofAge is how long ago the configuration was known to be the newest.
	ProofAge() time.Duration
}
