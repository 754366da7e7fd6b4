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

// Request is one request of a client with its complete body.
type Request struct {
	ID         string // ID identifies this request; each retry by the client has its own.
	Method     string
	URI        string // URI is the path and query as the client sent them.
	Path       string
	Host       string
	Key        string // Key is the client's API key.
	Header     http.Header
	Body       []byte
	ReceivedAt time.Time
	// Deadline is when the client stops waiting; zero if the client set none.
	Deadline time.Time
	Tokens   TokenCounts
	// LastEventID is the ID of the last stream event that the client has received.
	LastEventID string
	// PromptParts holds the IDs of the parts of the prompt, in order. Requests may share all but the last part.
	PromptParts []string
}

// TokenCounts holds the token counts that the client gives for a request to a model.
type TokenCounts struct {
	Prompt     int // Prompt is the number of prompt tokens.
	Output     int // Output is the maximum number of output tokens.
	LengthHint int // LengthHint is the client's estimate of the output tokens, 0 if there is none.
}

// Attempt is one transmission of a request to a target.
type Attempt struct {
	Request   *Request
	Workspace string
	Priority  int // Priority orders requests at a target; 0 comes first.
	// Path lists the stages that run the request. For a target that is not a model engine, it is a single stage without
	// layers.
	Path path.Path
	// Timeout is the time left until the response is due.
	Timeout time.Duration
	// LastEventID overrides the request's LastEventID.
	LastEventID string
	// MaxIdle is the maximum idle time of a pooled connection used for this attempt.
	MaxIdle time.Duration
}

// Response is the header of a target's response and a reader of the response body. Release must be called after the
// body was read to EOF, Abort in all other cases.
type Response struct {
	Status        int
	Header        http.Header // Header holds the end-to-end fields.
	Body          io.Reader
	ContentLength int64 // ContentLength is -1 if the length is unknown.
	// ConfirmEnd is nil unless the body has no length and ends with its connection, which looks the same if the target's process
	// ends in the middle. After the body was read to EOF, it returns an error if that may be the case.
	ConfirmEnd   func(ctx context.Context) error
	RequestLimit RequestLimit
	Release      func()
	Abort        func()
}

// confirmEnd returns an error if the body, which was read to EOF, may have ended before its last byte.
func (r *Response) confirmEnd(ctx context.Context) error {
	if r.ConfirmEnd == nil {
		return nil
	}
	return r.ConfirmEnd(ctx)
}

// RequestLimit is the limit on requests that a response of a target names.
type RequestLimit struct {
	PerSecond float64 // PerSecond is the number of requests a second that the target takes from all instances together.
	Named     bool    // Named is false if the response names no limit.
}

// AttemptError is the error of an attempt that got no response from the target.
type AttemptError struct {
	// NotRun means that the request has not run and never will.
	NotRun bool
	// Sent means that at least one byte of the request was sent.
	Sent bool
	// Misdirected means that a different target listens on the address.
	Misdirected bool
	// Refused means that the target itself refused the request, so that it is alive.
	Refused bool
	// FailedTarget is the address of the stage that failed, if the response names one.
	FailedTarget netip.AddrPort
	RequestLimit RequestLimit
	Cause        error
}

// Error implements error.
func (e *AttemptError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Upstream sends requests to targets. The interface is declared here because this package uses it.
type Upstream interface {
	// Open sends an attempt and returns the response header. Its errors are of type *AttemptError. The context bounds
	// the whole exchange, including the body.
	Open(ctx context.Context, a Attempt) (*Response, error)
	// ChangePath asks the first target of a running request to continue the request along another path.
	ChangePath(ctx context.Context, id string, p path.Path) error
	// Probe reports whether the target's host accepts connections.
	Probe(ctx context.Context, t target.Target) error
}

// CrashTracker attributes crashes of targets to requests. Requests with the same content have the same fingerprint.
type CrashTracker interface {
	// RequestStarted records that a request is sent to a target. parts are the fingerprints of the parts of its content
	// that other requests may share.
	RequestStarted(request string, fingerprint uint64, target string, parts ...uint64)
	// RequestProgressed records that the response to a request has begun.
	RequestProgressed(request string)
	// RequestFinished records that a request no longer runs on a target.
	RequestFinished(request, target string)
	// TargetCrashed records that a target crashed. It is called before RequestFinished for the requests on that target.
	TargetCrashed(target string, now time.Time)
	// RequestCompleted records that a request with this content got a complete response.
	RequestCompleted(fingerprint uint64)
	// Check returns the verdict for a content: quarantined if it or one of its parts crashes targets, held if it may have
	// crashed one, or free.
	Check(fingerprint uint64, now time.Time, parts ...uint64) quarantine.Verdict
	// MayRun reports whether a request may be started on a target.
	MayRun(request string, fingerprint uint64, target string, now time.Time) bool
}

// Snapshot is an immutable copy of the configuration and the targets.
type Snapshot struct {
	Catalogue *catalogue.Catalogue
	Targets   map[string]*Pool // Targets holds the targets of each service.
}

// SnapshotSource provides the current snapshot.
type SnapshotSource interface {
	// Snapshot returns the snapshot, or nil while no configuration has been received.
	Snapshot() *Snapshot
	// Fresh reports whether the configuration was confirmed as the newest recently enough for requests with a key.
	Fresh() bool
	// ConfigurationAge returns the time since the configuration was last confirmed as the newest.
	ConfigurationAge() time.Duration
}
