package proxy

import (
	"sync/atomic"
	"time"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
)

// activeRequest is a request that the server is handling.
type activeRequest struct {
	*Request
	server      *Server
	snapshot    *Snapshot
	route       *catalogue.Route
	service     *catalogue.Service
	workspace   string
	priority    int
	fingerprint uint64          // fingerprint is the hash of the request's content for crash tracking.
	parts       []uint64        // parts are the fingerprints of the parts of the prompt that other requests may share.
	deadline    time.Time       // deadline is when the final response is due.
	excluded    map[string]bool // excluded holds the names of targets that the request must not use again.
	demanded    map[string]bool // demanded holds the limited targets whose demand the request was counted in.
	refusals    int             // refusals counts the attempts that provably did not run.
	attempts    int             // attempts counts the attempts that may have run and did not succeed.
	// mayHaveRun holds when the stream was last sent to each first-stage target that may have run it.
	mayHaveRun          map[string]time.Time
	targets             []string      // targets lists the target or the path of each attempt, for the log.
	crossDataCentreHops int           // crossDataCentreHops is the number of cross-data-centre hops of the last attempt's path.
	firstEventLatency   time.Duration // firstEventLatency is the time to the first event.
	eventCount          atomic.Int64  // eventCount is written by the handler and also read when the path is changed.
	roomRequest         *roomRequest  // roomRequest is nil if the request takes no part in the decision on room.
	longestGap          time.Duration // longestGap is the longest gap between two events.
	resumes             int
	pathChanges         atomic.Int32
}

// newAttempt returns an attempt along a path.
func (r *activeRequest) newAttempt(p path.Path) Attempt {
	return Attempt{
		Request: r.Request, Workspace: r.workspace, Priority: r.priority, Path: p, Timeout: time.Until(r.deadline),
		LastEventID: r.LastEventID,
	}
}
