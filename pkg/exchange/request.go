package exchange

import (
	"sync/atomic"
	"time"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
)

// request is a call on its way through the server.
type request struct {
	*Call
	server      *Server
	view        *View
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
func (r *request) attempt(p path.Path) Attempt {
	return Attempt{Call: r.Call, Workspace: r.workspace, Rank: r.rank, Path: p, Left: time.Until(r.deadline), After: r.After}
}
