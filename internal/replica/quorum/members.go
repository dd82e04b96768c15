package quorum

import (
	"slices"
	"strings"
	"unicode/utf8"
)

// membership is the members from the entry at index on.
type membership struct {
	index   uint64
	members []Member
}

// history holds the memberships of the log, the oldest first. The newest is in
// force as soon as it is in the log, and no longer when it is truncated.
type history []membership

func (h history) latest() membership {
	if len(h) == 0 {
		return membership{}
	}
	return h[len(h)-1]
}

// at gives the membership in force at index.
func (h history) at(index uint64) membership {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].index <= index {
			return h[i]
		}
	}
	return membership{}
}

func (h history) truncate(index uint64) history {
	return slices.DeleteFunc(h, func(m membership) bool { return m.index >= index })
}

// compact forgets what is not in force at index or later.
func (h history) compact(index uint64) history {
	keep := h.at(index).index
	return slices.DeleteFunc(h, func(m membership) bool { return m.index < keep })
}

func (m membership) find(id string) (Member, bool) {
	i := slices.IndexFunc(m.members, func(x Member) bool { return x.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m.members[i], true
}

func (m membership) contains(id string) bool {
	_, ok := m.find(id)
	return ok
}

func (m membership) voter(id string) bool {
	x, ok := m.find(id)
	return ok && !x.Learner
}

func (m membership) voters() []string {
	var ids []string
	for _, x := range m.members {
		if !x.Learner {
			ids = append(ids, x.ID)
		}
	}
	return ids
}

// reached gives the highest value that a majority of the voters has reached.
func (m membership) reached(value func(id string) uint64) uint64 {
	var values []uint64
	for _, id := range m.voters() {
		values = append(values, value(id))
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// majority tells whether has holds for a majority of the voters.
func (m membership) majority(has func(id string) bool) bool {
	n := 0
	voters := m.voters()
	for _, id := range voters {
		if has(id) {
			n++
		}
	}
	return len(voters) > 0 && n > len(voters)/2
}

// with gives the members with x in the place of the one with its ID, or added.
func (m membership) with(x Member) []Member {
	members := m.without(x.ID)
	members = append(members, x)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

func (m membership) without(id string) []Member {
	return slices.DeleteFunc(slices.Clone(m.members), func(x Member) bool { return x.ID == id })
}

// name is the part of an identity that stays when a disk is replaced.
func name(id string) string {
	before, _, _ := strings.Cut(id, "/")
	return before
}

func (x Member) valid() bool {
	return x.ID != "" && utf8.ValidString(x.ID) && utf8.ValidString(x.Address)
}
