package quorum

import "sort"

// Candidate is a disk that may vote in the next set.
type Candidate struct {
	Disk
	Site string
	Gone bool // nobody serves it
}

// Most is how many disks vote at most: every one more is one more to ask and to sync.
const Most = 9

// Choose finds the set to come, or nil where the members are right as they are
// (section 3.8). Disks that are gone give way to fresh ones, as many as there are,
// from the sites that have the fewest. With machines above 0 the set also grows, to
// the largest odd number of disks that are there: so that machines lost at once, or
// one site, leave a majority. It never shrinks, since who is gone may come back.
func Choose(members, fresh []Candidate, machines int) []Disk {
	fresh = append([]Candidate(nil), fresh...)
	sort.Slice(fresh, func(i, j int) bool { return fresh[i].Addr < fresh[j].Addr })
	var stay, gone []Candidate
	for _, m := range members {
		if m.Gone {
			gone = append(gone, m)
		} else {
			stay = append(stay, m)
		}
	}
	size, known := len(members), min(len(stay)+len(fresh), Most)
	if machines > 0 {
		largest := known - (known+1)%2
		for n := largest; n > size; n -= 2 {
			if next := fill(stay, fresh, n); bears(next) {
				return disks(next)
			}
		}
		// No size bears the loss of any site; that of single machines counts all the same.
		if n := min(2*machines+1, largest); n > size {
			return disks(fill(stay, fresh, n))
		}
	}
	next := fill(stay, fresh, size)
	if machines > 0 && len(gone) == 0 && !bears(next) {
		return swap(next, fresh)
	}
	if len(next) == len(stay) {
		return nil
	}
	return disks(append(next, gone[:size-len(next)]...))
}

// fill adds fresh disks up to a number, each from the site that has the fewest then.
func fill(stay, fresh []Candidate, n int) []Candidate {
	out := append([]Candidate(nil), stay...)
	left := append([]Candidate(nil), fresh...)
	for len(out) < n && len(left) > 0 {
		sites, best := bySite(out), 0
		for i, c := range left {
			if sites[c.Site] < sites[left[best].Site] {
				best = i
			}
		}
		out = append(out, left[best])
		left = append(left[:best:best], left[best+1:]...)
	}
	return out
}

func bySite(disks []Candidate) map[string]int {
	out := map[string]int{}
	for _, d := range disks {
		out[d.Site]++
	}
	return out
}

// bears tells whether the loss of any one site leaves a majority.
func bears(disks []Candidate) bool {
	for _, n := range bySite(disks) {
		if len(disks)-n <= len(disks)/2 {
			return false
		}
	}
	return true
}

// swap puts a fresh disk of another site in the place of one of a crowded site.
func swap(members, fresh []Candidate) []Disk {
	for i, m := range members {
		for _, f := range fresh {
			next := append(append(append([]Candidate(nil), members[:i]...), members[i+1:]...), f)
			sites := bySite(members)
			if sites[f.Site]+1 < sites[m.Site] && (len(members)-sites[m.Site] <= len(members)/2) {
				return disks(next)
			}
		}
	}
	return nil
}

func disks(of []Candidate) []Disk {
	var out []Disk
	for _, c := range of {
		out = append(out, c.Disk)
	}
	return Sorted(out)
}
