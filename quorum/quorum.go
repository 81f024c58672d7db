// Package quorum holds the set of disks and says what a majority of it is
// (design.md section 3.2). While a set is being changed, a majority of both the
// old and the new disks is asked for.
package quorum

import "sort"

// Disk is one disk: an identity that is born with its folder, and where it is served.
type Disk struct {
	Identity string `json:"identity"`
	Addr     string `json:"addr"`
}

// VoterSet is the disks that vote. Next is filled only while a change is under way.
type VoterSet struct {
	Serial uint64 `json:"serial"`
	Disks  []Disk `json:"disks"`
	Next   []Disk `json:"next,omitempty"`
}

// Formed tells whether there is a set at all.
func (s VoterSet) Formed() bool { return s.Serial > 0 && len(s.Disks) > 0 }

// All lists each disk once, old ones first.
func (s VoterSet) All() []Disk {
	out := append([]Disk(nil), s.Disks...)
	for _, d := range s.Next {
		if !has(s.Disks, d.Identity) {
			out = append(out, d)
		}
	}
	return out
}

// Has tells whether a disk votes in this set.
func (s VoterSet) Has(identity string) bool { return has(s.Disks, identity) || has(s.Next, identity) }

// Old tells whether a disk is of the set that is in use, not only of the next one.
func (s VoterSet) Old(identity string) bool { return has(s.Disks, identity) }

func has(disks []Disk, identity string) bool {
	for _, d := range disks {
		if d.Identity == identity {
			return true
		}
	}
	return false
}

// Majority tells whether the disks that said yes are enough.
func (s VoterSet) Majority(yes func(identity string) bool) bool {
	return s.Formed() && majority(s.Disks, yes) && (len(s.Next) == 0 || majority(s.Next, yes))
}

func majority(disks []Disk, yes func(string) bool) bool {
	n := 0
	for _, d := range disks {
		if yes(d.Identity) {
			n++
		}
	}
	return n > len(disks)/2
}

// Equal compares two sets.
func (s VoterSet) Equal(o VoterSet) bool {
	return s.Serial == o.Serial && same(s.Disks, o.Disks) && same(s.Next, o.Next)
}

func same(a, b []Disk) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Sorted puts disks in the order of their identities, so that two founders
// that saw the same disks name the same set.
func Sorted(disks []Disk) []Disk {
	out := append([]Disk(nil), disks...)
	sort.Slice(out, func(i, j int) bool { return out[i].Identity < out[j].Identity })
	return out
}
