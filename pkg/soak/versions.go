package soak

import "time"

// versionFact is either an accepted change (entry is empty) or the version seen at an entry instance.
type versionFact struct {
	at      time.Time
	entry   string
	version uint64
	id      string // id is the change's ID.
}

// instanceVersion is what was seen of one instance.
type instanceVersion struct {
	since   time.Time // since is when the instance was first seen ready.
	version uint64
	late    map[uint64]bool // late holds the versions that were already found late.
}

// judgeVersions checks that accepted versions are in force in time and never revert (P7). Facts
// are in order of time.
func (r *Report) judgeVersions(f facts) {
	seen := map[string]*instanceVersion{}
	accepted := map[uint64]versionFact{}
	for _, fact := range f.versions {
		if fact.entry == "" {
			r.accept(accepted, fact)
			continue
		}
		i, ok := seen[fact.entry]
		if !ok {
			i = &instanceVersion{since: fact.at, late: map[uint64]bool{}}
			seen[fact.entry] = i
		}
		if fact.version < i.version {
			r.add("P7", "%s went back from version %d to %d", fact.entry, i.version, fact.version)
		}
		i.version = fact.version
		r.judgeDelay(accepted, fact, i)
	}
}

func (r *Report) accept(accepted map[uint64]versionFact, fact versionFact) {
	if other, ok := accepted[fact.version]; ok && other.id != fact.id {
		r.add("P7", "version %d was given to the changes %s and %s", fact.version, other.id, fact.id)
	}
	accepted[fact.version] = fact
	r.Configurations = len(accepted)
}

// judgeDelay finds each accepted version that an instance should have by now, counted from the
// acceptance or the instance's first readiness, whichever is later.
func (r *Report) judgeDelay(accepted map[uint64]versionFact, fact versionFact, i *instanceVersion) {
	for version, change := range accepted {
		from := change.at
		if i.since.After(from) {
			from = i.since
		}
		if fact.version < version && !i.late[version] && fact.at.Sub(from) > spreadLimit+clockSlack {
			i.late[version] = true
			r.add("P7", "%s has version %d, %v after version %d was accepted", fact.entry, fact.version, fact.at.Sub(change.at), version)
		}
	}
}
