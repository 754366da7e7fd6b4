// Package replicagoal decides how many replicas of a model the targets of a data centre should hold.
//
// Each assignment makes a target load weights, and each change of a target is told to all instances. A large fleet has more targets than its
// requests need, so the others stay without layers until the requests need them, or until targets that serve are lost: they are spares.
//
// The decision answers the memory that requests use. More replicas are wanted as soon as a part of the memory is used that leaves room for
// several times the load, since loading takes seconds. Replicas are never given up: the load of a day comes back.
//
// Usage:
//
//	usage := replicagoal.Usage{Replicas: 18.5, UsedCells: 4e6, Cells: 1e7}
//	wanted := usage.Wanted() // 29.6: the replicas with which a quarter of the memory would be used.
package replicagoal

const (
	// minReplicas is the number of replicas that a data centre has at least, if its targets can hold that many. It survives the loss of several
	// groups of targets without a gap, and serves the usual load of a fleet whose targets are just enough.
	minReplicas = 16.0
	// usedFraction is the fraction of the memory that requests may use before more replicas are wanted.
	usedFraction = 0.25
)

// Usage is what the targets of a data centre hold, and how much of it requests use.
type Usage struct {
	Replicas  float64 // Replicas is the number of replicas of the model that the targets hold.
	UsedCells int64   // UsedCells is the KV cache that requests use, in tokens times layers.
	Cells     int64   // Cells is the KV cache of the targets with layers.
}

// Wanted returns the number of replicas that the targets should hold.
func (u Usage) Wanted() float64 {
	if u.Cells <= 0 {
		return minReplicas
	}
	return max(minReplicas, u.Replicas*float64(u.UsedCells)/float64(u.Cells)/usedFraction)
}
