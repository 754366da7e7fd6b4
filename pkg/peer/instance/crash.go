package instance

import (
	"net/netip"
	"slices"

	"golang.org/x/time/rate"

	"github.com/cuminroute/cuminroute/pkg/decision/crashhistory"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

const (
	// crashRate and crashBurst bound the messages about crashes to all instances, in messages a second. A lost message
	// delays a verdict by one crash, while many targets that fail at once must not fill the links.
	crashRate  = 10
	crashBurst = 40
	// maxFingerprints bounds the fingerprints of a message, so that it fits one packet. A run counts as runOverhead more.
	maxFingerprints = 96
	runOverhead     = 3
)

// CrashHandler handles what other instances say about crashes. Its methods are called from the goroutine that reads all
// packets and must not block.
type CrashHandler interface {
	// AddReport handles a crash under requests of another instance.
	AddReport(crashhistory.Report)
	// AddProgress handles progress of requests of another instance, by the fingerprints of their contents.
	AddProgress(contents []uint64)
}

// WithCrashHandler sets the handler of messages about crashes from other instances.
func WithCrashHandler(h CrashHandler) Option {
	return func(n *Node) { n.crashHandler = h }
}

func newCrashLimiter() *rate.Limiter { return rate.NewLimiter(crashRate, crashBurst) }

// SendCrash informs all other instances of a crash under requests of this instance.
func (n *Node) SendCrash(report crashhistory.Report) error {
	c, size := &instancepb.Crash{Target: report.Target}, 0
	for _, r := range report.Runs {
		added := len(r.Contents) + runOverhead
		if size > 0 && size+added > maxFingerprints {
			if err := n.sendToOthers(&instancepb.StatusUpdate{Crash: c}); err != nil {
				return err
			}
			c, size = &instancepb.Crash{Target: report.Target}, 0
		}
		c.Runs = append(c.Runs, &instancepb.CrashedRun{Request: r.Request, Attempt: r.Attempt, Contents: r.Contents})
		size += added
	}
	return n.sendToOthers(&instancepb.StatusUpdate{Crash: c})
}

// SendProgress informs all other instances that requests with these contents have made progress at this instance.
func (n *Node) SendProgress(contents []uint64) error {
	for chunk := range slices.Chunk(contents, maxFingerprints) {
		if err := n.sendToOthers(&instancepb.StatusUpdate{Progressed: chunk}); err != nil {
			return err
		}
	}
	return nil
}

// sendToOthers sends a message about a crash to all other live instances, within crashRate.
func (n *Node) sendToOthers(u *instancepb.StatusUpdate) error {
	if !n.crashLimiter.Allow() {
		n.counters.dropped.Inc(1)
		return nil
	}
	var others []netip.AddrPort
	for _, m := range n.Others() {
		others = append(others, m.Address)
	}
	return n.SendStatus(others, u)
}

// receiveCrash passes on what a status update says about crashes.
func (n *Node) receiveCrash(u *instancepb.StatusUpdate) {
	if n.crashHandler == nil {
		return
	}
	if c := u.GetCrash(); c != nil {
		report := crashhistory.Report{Target: c.GetTarget()}
		for _, r := range c.GetRuns() {
			report.Runs = append(report.Runs, crashhistory.Run{Request: r.GetRequest(), Attempt: r.GetAttempt(), Contents: r.GetContents()})
		}
		n.crashHandler.AddReport(report)
	}
	if contents := u.GetProgressed(); len(contents) > 0 {
		n.crashHandler.AddProgress(contents)
	}
}
