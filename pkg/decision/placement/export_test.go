package placement

// CoverMoves returns the moves of workers with layers that closing the gaps takes, and whether the
// gaps can be closed.
func CoverMoves(old Plan, workers []Worker, models []Model) (int, bool) {
	r := newRepairing(old, workers, models)
	if !r.cover() {
		return 0, false
	}
	return r.moved(), true
}

// KeptThroughput returns the throughput of what can be kept of the old plan.
func KeptThroughput(old Plan, workers []Worker, models []Model) float64 {
	return newRepairing(old, workers, models).throughput()
}
