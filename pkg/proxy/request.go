package proxy

import (
	"sync/atomic"
	"time"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
)

// activeRequest is a call on its way through the server.
type activeRequest struct {
	*Request
	server      *Server
	view        *Snapshot
	route       *catalogue.Route
	service     *catalogue.Service
	workspace   string
	rank        int
	fingerprint uint64    // fingerprint is the fingerprint of what the caller sent.
	deadline    time.Time // deadline is when the final answer is due.
	avoided     map[string]bool
	refusals    int             // refusals counts the attempts that provably did not run.
	attempts    int             // attempts counts those that may have run.
	ran         map[string]bool // ran names the targets that may have run the request, as the first of a path.
	targets     []string        // targets lists the target of each attempt, or its path.
	crossings   int             // crossings counts the changes of data centre on the last path.
	first       time.Duration   // first is the time to the first event.
	events      int
	longest     time.Duration // longest is the longest pause between events.
	resumes     int
	repaths     atomic.Int32
}

// attempt returns an attempt on a path.
func (r *activeRequest) attempt(p path.Path) Attempt {
	return Attempt{Request: r.Request, Workspace: r.workspace, Priority: r.rank, Path: p, Timeout: time.Until(r.deadline), LastEventID: r.LastEventID}
}
