package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/room"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// State is the state that an instance exposes to operators. It contains no API keys and no content of requests.
type State struct {
	Instance         string              `json:"Instance"`
	DataCentre       string              `json:"DataCentre"`
	Ready            bool                `json:"Ready"`
	Stopping         bool                `json:"Stopping"`
	Running          int                 `json:"Running"` // Running counts the requests in flight.
	Version          uint64              `json:"Version"` // Version is the version of the active configuration.
	Revision         uint64              `json:"Revision"`
	Era              uint64              `json:"Era"`      // Era is the store's era that Revision belongs to.
	ConfigurationAge string              `json:"ProofAge"` // ConfigurationAge is the time since the configuration was last confirmed as the newest.
	WatchesStore     bool                `json:"Reads"`    // WatchesStore reports whether the instance is the watcher of its data centre.
	HoldsLease       bool                `json:"Leads"`    // HoldsLease reports whether the instance holds the lease for assignments.
	Members          []membership.Member `json:"Members"`
	Targets          []TargetState       `json:"Targets"`
	// Room holds the state of the decision on the room of targets, by service.
	Room map[string]room.State `json:"Room"`
}

// TargetState is an instance's view of one target.
type TargetState struct {
	target.Target
	Load    targetstats.Load `json:"Load"` // Load is the sum of the loads of all instances.
	Ejected bool             `json:"Avoided"`
	Dead    bool             `json:"Dead"`
	// RequestLimit is the number of requests a second that the target takes from all instances, or nil if it names no limit.
	RequestLimit *float64 `json:"RequestLimit,omitempty"`
}

// State returns the state of the instance.
func (g *Gateway) State() State {
	now := time.Now()
	state := State{
		Instance: g.settings.Instance, DataCentre: g.settings.DataCentre, Ready: g.Ready(), Stopping: g.stopping.Load(),
		Running: g.requests.Running(), WatchesStore: g.peers.isWatcher(), HoldsLease: g.leader.holds(), Members: g.peers.node.Members(),
		Room: g.server.RoomStates(now),
	}
	version, at := g.cache.configurationVersion()
	state.Version, state.Revision, state.Era = version, at.Number, at.Era
	if age, confirmed := g.cache.confirmationAge(); confirmed {
		state.ConfigurationAge = age.Round(time.Millisecond).String()
	}
	for _, t := range g.cache.allTargets() {
		targetState := TargetState{
			Target: t, Load: g.targetStats.Load(t.Name), Ejected: g.targetStats.Ejected(t.Name, now), Dead: g.targetStats.IsDead(t.Name, now),
		}
		if perSecond, limited := g.requestLimiter.PerSecond(t.Name); limited {
			targetState.RequestLimit = &perSecond
		}
		state.Targets = append(state.Targets, targetState)
	}
	slices.SortFunc(state.Targets, func(a, b TargetState) int { return strings.Compare(a.Name, b.Name) })
	return state
}

func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(g.State()); err != nil {
		g.logger.Info().Err(err).Msg("failed to send the state")
	}
}
