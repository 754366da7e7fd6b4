package instance

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/requestlimit"
	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

// maxLimits bounds the request limits in one status update, so that it fits a datagram.
const maxLimits = 28

// RequestLimitHandler handles what other instances report about the request limits of targets. Its method is called from the
// goroutine that reads all packets and must not block.
type RequestLimitHandler interface {
	// AddReports handles the reports of another instance, which replace its earlier ones.
	AddReports(instance string, reports []requestlimit.Report, now time.Time)
}

// WithRequestLimitHandler sets the handler of reports about request limits.
func WithRequestLimitHandler(h RequestLimitHandler) Option {
	return func(n *Node) { n.requestLimitHandler = h }
}

// SendRequestLimits sends reports about request limits to other instances, a random sample if there are more than maxLimits.
func (n *Node) SendRequestLimits(to []netip.AddrPort, reports []requestlimit.Report) error {
	if len(to) == 0 || len(reports) == 0 {
		return nil
	}
	rand.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
	u := &instancepb.StatusUpdate{HasLimits: true}
	for _, r := range reports[:min(len(reports), maxLimits)] {
		u.Limits = append(u.Limits, &instancepb.RequestLimit{
			Target: r.Target, PerSecond: r.PerSecond, Ended: r.Ended, AgeNs: int64(r.Age), Demand: float32(r.Demand),
		})
	}
	return n.SendStatus(to, u)
}

// receiveRequestLimits passes on what a status update says about request limits.
func (n *Node) receiveRequestLimits(from netip.AddrPort, u *instancepb.StatusUpdate) {
	if n.requestLimitHandler == nil || !u.GetHasLimits() {
		return
	}
	reports := make([]requestlimit.Report, len(u.GetLimits()))
	for i, l := range u.GetLimits() {
		reports[i] = requestlimit.Report{
			Target: l.GetTarget(), PerSecond: l.GetPerSecond(), Ended: l.GetEnded(), Age: time.Duration(l.GetAgeNs()), Demand: float64(l.GetDemand()),
		}
	}
	n.requestLimitHandler.AddReports(from.String(), reports, time.Now())
}
