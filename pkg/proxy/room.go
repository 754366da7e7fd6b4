package proxy

import (
	"errors"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/decision/path"
	"github.com/cuminroute/cuminroute/pkg/decision/room"
)

// soonFraction is the fraction of the route's latency goal within which a stream finds room soon.
const soonFraction = 0.2

// maxPriorityLabel bounds the priorities that metrics tell apart.
const maxPriorityLabel = 9

// roomRequest is a stream's part in the decision on room.
type roomRequest struct {
	room      *room.Room
	request   room.Request
	place     room.Place
	maxWait   time.Duration // maxWait is how long the stream may wait for room.
	missed    bool          // missed means that the stream has not found room soon.
	waitedFor time.Duration // waitedFor is the time from the receipt of the stream's request to the last attempt to find room.
}

// roomSet holds the decision on the room of each service's targets. It is safe for concurrent use.
type roomSet struct {
	mu    sync.Mutex
	rooms map[string]*room.Room
}

// get returns the decision for a service. It creates one if there is none.
func (s *roomSet) get(service string) *room.Room {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rooms[service]
	if r == nil {
		r = room.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		s.rooms[service] = r
	}
	return r
}

// all returns the decisions of all services.
func (s *roomSet) all() map[string]*room.Room {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rooms)
}

// RoomStates returns the state of the decision on room of each service that has one.
func (s *Server) RoomStates(now time.Time) map[string]room.State {
	states := make(map[string]room.State)
	for service, r := range s.rooms.all() {
		states[service] = r.State(now)
	}
	return states
}

// RoomReports returns the cutoffs that other instances need, by a hash of the service's name.
func (s *Server) RoomReports(now time.Time) map[uint64]float64 {
	reports := make(map[uint64]float64)
	for service, r := range s.rooms.all() {
		if cutoff, needed := r.Report(now); needed {
			reports[xxhash.Sum64String(service)] = cutoff
		}
	}
	return reports
}

// AddRoomReport takes the cutoff that another instance reports for a service. It is ignored if this instance has had no request for the
// service.
func (s *Server) AddRoomReport(service uint64, cutoff float64, now time.Time) {
	for name, r := range s.rooms.all() {
		if xxhash.Sum64String(name) == service {
			r.AddReport(cutoff, now)
		}
	}
}

// newRoomRequest returns the part of a request in the decision on room, or nil if its route declares no goal for events, so that no order
// among its requests is asked for.
func (r *activeRequest) newRoomRequest() *roomRequest {
	if r.route.EventGapGoal <= 0 {
		return nil
	}
	engine := r.service.Engine
	q := room.Request{
		Hash:      xxhash.Sum64String(r.ID),
		Rank:      r.service.RankIndex(catalogue.Rank{Priority: r.priority, Route: r.route.Priority}),
		Ranks:     len(r.service.Ranks),
		Work:      min(max(r.Tokens.Prompt, 0), engine.KVCapacity) + r.boundedOutput(),
		UsualWork: engine.TypicalPromptTokens + engine.TypicalOutputTokens,
		TimeLeft:  r.deadline.Sub(r.ReceivedAt), Timeout: r.route.Timeout,
	}
	wait := time.Duration(maxQueueFraction * float64(r.route.LatencyGoal))
	if q.GoalLost() {
		wait = max(wait, room.MaxLateWait)
	}
	decision := r.server.rooms.get(r.service.Name)
	return &roomRequest{room: decision, request: q, place: decision.Place(q, r.ReceivedAt), maxWait: wait}
}

// boundedOutput returns the number of output tokens to count as work. The client's estimate does not count, so that it cannot buy a
// place.
func (r *activeRequest) boundedOutput() int {
	usual := r.service.Engine.TypicalOutputTokens
	if r.Tokens.Output <= 0 {
		return usual
	}
	return min(r.Tokens.Output, usual)
}

// errTurnedAway is the cause of the refusal of a stream that may not look for room.
var errTurnedAway = errors.New("requests before this one find too little room")

// lacksRoom reports whether a request is refused since targets lack room, and not since they are gone or refuse it.
func lacksRoom(cause error) bool {
	return errors.Is(cause, errTurnedAway) || errorx.IsOfType(cause, path.NoCapacity)
}

// admitToRoom returns a refusal if a new stream may not look for room, since more urgent ones find too little.
func (s *activeStream) admitToRoom() error {
	if s.roomRequest == nil || s.roomRequest.room.Admits(s.roomRequest.place, time.Now()) {
		return nil
	}
	s.roomDecided(false)
	return s.refuse("no_path", "no targets have room for the request on all layers", errTurnedAway)
}

// utilization returns the fraction of the targets' memory that a new stream may use.
func (s *activeStream) utilization(now time.Time) float64 {
	limit := s.server.memoryLimit.Utilization(now)
	if s.roomRequest == nil {
		return limit
	}
	return s.roomRequest.room.Utilization(s.roomRequest.place, limit, now)
}

// mayWaitForRoom reports whether a new stream that has found no room may wait for it.
func (s *activeStream) mayWaitForRoom(now time.Time) bool {
	waited := now.Sub(s.ReceivedAt)
	r := s.roomRequest
	if r == nil {
		return waited <= time.Duration(maxQueueFraction*float64(s.route.LatencyGoal))
	}
	r.waitedFor = waited
	if !r.missed && waited > time.Duration(soonFraction*float64(s.route.LatencyGoal)) {
		r.missed = true
		r.room.Missed(r.place, now)
		s.server.roomCounter("Missed", s.priority).Inc(1)
	}
	return waited <= r.maxWait
}

// roomDecided records that a new stream was sent to targets, or turned away for want of room.
func (s *activeStream) roomDecided(admitted bool) {
	r := s.roomRequest
	if r == nil || s.headerSent {
		return
	}
	now := time.Now()
	if admitted && !r.missed {
		r.room.Found(now)
	}
	r.room.Decided(r.request, admitted, now)
	name := "TurnedAway"
	if admitted {
		name = "Admitted"
	}
	s.server.roomCounter(name, s.priority).Inc(1)
}

// roomCounter returns the counter of an event of the decision on room, by priority.
func (s *Server) roomCounter(event string, priority int) metrics.Counter {
	return metrics.GetOrRegisterCounter("Room."+event+".Priority"+strconv.Itoa(min(max(priority, 0), maxPriorityLabel)), s.registry)
}
