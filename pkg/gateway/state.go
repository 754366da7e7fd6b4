package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/decision/targetstats"
	"github.com/cuminroute/cuminroute/pkg/target"
)

// State is what an instance shows of itself. It holds no keys and no content of requests.
type State struct {
	Instance         string              `json:"Instance"`
	DataCentre       string              `json:"DataCentre"`
	Ready            bool                `json:"Ready"`
	Stopping         bool                `json:"Stopping"`
	Running          int64               `json:"Running"` // Running counts the requests in flight.
	Version          uint64              `json:"Version"` // Version is the configuration in force.
	Revision         uint64              `json:"Revision"`
	ConfigurationAge string              `json:"ProofAge"` // ProofAge is how long ago the configuration in force was the newest.
	WatchesStore     bool                `json:"Reads"`    // Reads reports whether this instance reads the store for its data centre.
	HoldsLease       bool                `json:"Leads"`    // Leads reports whether it holds the lease for orders.
	Members          []membership.Member `json:"Members"`
	Targets          []TargetState       `json:"Targets"`
}

// TargetState is what an instance knows of one target.
type TargetState struct {
	target.Target
	Load    targetstats.Load `json:"Load"` // Load is that of all instances.
	Ejected bool             `json:"Avoided"`
	Dead    bool             `json:"Dead"`
}

// State returns the state of the instance.
func (s *Gateway) State() State {
	now := time.Now()
	state := State{
		Instance: s.settings.Instance, DataCentre: s.settings.DataCentre, Ready: s.Ready(), Stopping: s.stopping.Load(),
		Running: s.running.Load(), WatchesStore: s.peers.reads(), HoldsLease: s.leader.holds(), Members: s.peers.node.Members(),
	}
	state.Version, state.Revision = s.knowledge.version()
	if age, proven := s.knowledge.age(); proven {
		state.ConfigurationAge = age.Round(time.Millisecond).String()
	}
	for _, t := range s.knowledge.all() {
		state.Targets = append(state.Targets, TargetState{
			Target: t, Load: s.meter.Load(t.Name), Ejected: s.meter.Ejected(t.Name, now), Dead: s.meter.IsDead(t.Name, now),
		})
	}
	slices.SortFunc(state.Targets, func(a, b TargetState) int { return strings.Compare(a.Name, b.Name) })
	return state
}

func (s *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(s.State()); err != nil {
		s.logger.Info().Err(err).Msg("state not sent")
	}
}
