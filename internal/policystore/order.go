package policystore

import "slices"

// maxFollowed bounds the policies that are remembered as followed. A copy of the
// platform's store is seconds old: they are those of a minute with a change each second.
const maxFollowed = 64

// order is how an offered policy relates to the one in force.
type order int

const (
	older order = iota
	same
	// conflicting is another content of the same generation.
	conflicting
	newer
)

// version returns the version of a policy; nil has the zero Version.
func (p *sourcedPolicy) version() Version {
	if p == nil {
		return Version{}
	}
	return Version{Generation: p.policy.Generation, Digest: p.policy.Digest, Written: p.written}
}

// compare orders an offered version and the one in force, which may be nil. It answers two
// faults: a store that returns from an earlier copy offers what was in force before, and
// the operator's next policy may then have any generation.
//
// A policy of a later epoch is newer, except one that is known to have been followed: what
// was written after the copy is written again in turn, and the one in force will be. Where
// the epochs don't tell, the generation does.
func (p *sourcedPolicy) compare(offered Version) order {
	inForce := p.version()
	switch {
	case p == nil:
		return newer
	case offered.Generation == inForce.Generation && offered.Digest == inForce.Digest:
		return same
	case offered.Written.Before(inForce.Written):
		return older
	case offered.Generation > inForce.Generation:
		return newer
	case inForce.Written.Before(offered.Written):
		if slices.ContainsFunc(p.followed, offered.isSame) {
			return older
		}
		return newer
	case offered.Generation < inForce.Generation:
		return older
	}
	return conflicting
}

// followedBy returns the policies that are known to be older once a version has taken the
// place of the one in force, which may be nil.
func (p *sourcedPolicy) followedBy(next Version) []Version {
	if p == nil {
		return nil
	}
	inForce := p.version()
	if !inForce.precedes(next) {
		return p.followed
	}
	followed := append(slices.DeleteFunc(slices.Clone(p.followed), inForce.isSame), inForce)
	return followed[max(0, len(followed)-maxFollowed):]
}

// isSame reports whether two versions have the same generation and content.
func (v Version) isSame(other Version) bool {
	return v.Generation == other.Generation && v.Digest == other.Digest
}

// precedes reports whether a version is certainly older than one that takes its place. One
// that was read in a later epoch may have been written after the other, which hosts
// without contact to the store still hold.
func (v Version) precedes(next Version) bool {
	return v.Written.End > 0 && v.Written.End <= next.Written.End
}
