package quorum

import (
	"slices"
	"strings"
	"unicode/utf8"
)

// membership is the set of members defined by the entry at index.
type membership struct {
	index   uint64
	members []Member
}

// membershipHistory contains the memberships in the log, oldest first. A membership takes
// effect when it is appended to the log, and ends when its entry is truncated.
type membershipHistory []membership

func (h membershipHistory) latest() membership {
	if len(h) == 0 {
		return membership{}
	}
	return h[len(h)-1]
}

// atIndex returns the membership in effect at index.
func (h membershipHistory) atIndex(index uint64) membership {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].index <= index {
			return h[i]
		}
	}
	return membership{}
}

func (h membershipHistory) truncate(index uint64) membershipHistory {
	return slices.DeleteFunc(h, func(m membership) bool { return m.index >= index })
}

// dropBefore removes the memberships that are not in effect at index or later.
func (h membershipHistory) dropBefore(index uint64) membershipHistory {
	oldestIndex := h.atIndex(index).index
	return slices.DeleteFunc(h, func(m membership) bool { return m.index < oldestIndex })
}

func (m membership) find(id string) (Member, bool) {
	i := slices.IndexFunc(m.members, func(member Member) bool { return member.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m.members[i], true
}

func (m membership) contains(id string) bool {
	_, ok := m.find(id)
	return ok
}

func (m membership) isVoter(id string) bool {
	member, ok := m.find(id)
	return ok && !member.Learner
}

func (m membership) voterIDs() []string {
	var ids []string
	for _, member := range m.members {
		if !member.Learner {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// majorityReached returns the highest value that a majority of the voters has reached.
func (m membership) majorityReached(value func(id string) uint64) uint64 {
	var values []uint64
	for _, id := range m.voterIDs() {
		values = append(values, value(id))
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// hasMajority reports whether the condition holds for a majority of the voters.
func (m membership) hasMajority(condition func(id string) bool) bool {
	count := 0
	voters := m.voterIDs()
	for _, id := range voters {
		if condition(id) {
			count++
		}
	}
	return len(voters) > 0 && count > len(voters)/2
}

// withMember returns the members after adding member or replacing the one with the same ID.
func (m membership) withMember(member Member) []Member {
	members := m.withoutMember(member.ID)
	members = append(members, member)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

func (m membership) withoutMember(id string) []Member {
	return slices.DeleteFunc(slices.Clone(m.members), func(x Member) bool { return x.ID == id })
}

// replicaName returns the NAME part of an ID. It stays the same when the disk of a replica
// is replaced.
func replicaName(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}

func (m Member) isValid() bool {
	return m.ID != "" && utf8.ValidString(m.ID) && utf8.ValidString(m.Address)
}
