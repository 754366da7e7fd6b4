package soak

import "time"

// versionObservation is either an accepted change (instance is empty) or the version that an instance reported.
type versionObservation struct {
	at       time.Time
	instance string
	version  uint64
	id       string // id is the change's ID.
}

// instanceVersion is the observed state of an instance.
type instanceVersion struct {
	since        time.Time // since is when the instance was first observed as ready.
	version      uint64
	reportedLate map[uint64]bool // reportedLate holds the versions already reported as late.
}

// checkVersions checks that accepted versions become active in time and that versions never decrease (P7). The
// observations are in chronological order.
func (r *Report) checkVersions(f observations) {
	instances := map[string]*instanceVersion{}
	accepted := map[uint64]versionObservation{}
	for _, observation := range f.versions {
		if observation.instance == "" {
			r.addAccepted(accepted, observation)
			continue
		}
		instance, ok := instances[observation.instance]
		if !ok {
			instance = &instanceVersion{since: observation.at, reportedLate: map[uint64]bool{}}
			instances[observation.instance] = instance
		}
		if observation.version < instance.version {
			r.addViolation("P7", "%s reverted from version %d to %d", observation.instance, instance.version, observation.version)
		}
		instance.version = observation.version
		r.checkPropagation(accepted, observation, instance)
	}
}

func (r *Report) addAccepted(accepted map[uint64]versionObservation, observation versionObservation) {
	if other, ok := accepted[observation.version]; ok && other.id != observation.id {
		r.addViolation("P7", "version %d was assigned to both changes %s and %s", observation.version, other.id, observation.id)
	}
	accepted[observation.version] = observation
	r.Configurations = len(accepted)
}

// checkPropagation reports each accepted version that isn't active on an instance within the limit, counted from the
// acceptance or from when the instance was first ready, whichever is later.
func (r *Report) checkPropagation(accepted map[uint64]versionObservation, observation versionObservation, instance *instanceVersion) {
	for version, change := range accepted {
		from := change.at
		if instance.since.After(from) {
			from = instance.since
		}
		if observation.version < version && !instance.reportedLate[version] && observation.at.Sub(from) > propagationLimit+clockTolerance {
			instance.reportedLate[version] = true
			r.addViolation("P7", "%s still has version %d %v after version %d was accepted", observation.instance, observation.version, observation.at.Sub(change.at), version)
		}
	}
}
