// Package warmth tells which engines may have become cold without this node knowing
// (design.md section 5.5). The engines of a site may become cold while it is emptied;
// when it is taken back, nobody knows until the platform's list has been looked at late
// enough. Until then they count as cold.
//
// What is known is ordered by serials of the register alone, so that nodes that start
// meanwhile know as much as the others: the sites' state says under which of its serials
// each site was taken back, and the list of engines up to which one it shows what
// happened.
package warmth

import "time"

// Settling follows which serial of the sites' state a look at the platform's list
// covers: that list lags behind by a known time. It is not safe for concurrent use.
type Settling struct {
	Lag    time.Duration // of the platform's list
	serial uint64        // in force here
	at     time.Duration // since then
	before uint64        // the newest earlier one that was in force for that long
}

// Adopt says that a serial of the sites' state came in force here.
func (s *Settling) Adopt(serial uint64, now time.Duration) {
	s.before = s.Covered(now)
	s.serial, s.at = serial, now
}

// Covered is the newest serial whose changes a look that begins at some time shows:
// it has been in force here for the list's lag.
func (s *Settling) Covered(began time.Duration) uint64 {
	if began-s.at >= s.Lag {
		return s.serial
	}
	return s.before
}

// Due tells whether a look now would be the first to cover the serial in force, and a
// site was taken back after what the list covers.
func (s *Settling) Due(looked, now time.Duration, back map[string]uint64, covered uint64) bool {
	from := s.at + s.Lag
	return looked < from && from <= now && Open(back, covered, s.serial)
}

// Open tells whether some site was taken back after what a list covers, and up to what
// another look covers.
func Open(back map[string]uint64, covered, next uint64) bool {
	for _, serial := range back {
		if serial > covered && serial <= next {
			return true
		}
	}
	return false
}

// doubt is one site's: the serial that took it back, and since when this node knows.
type doubt struct {
	serial uint64
	since  time.Duration
}

// Doubts are the sites whose engines may be cold. It is not safe for concurrent use.
type Doubts struct{ sites map[string]doubt }

// Take puts in force which serials took sites back, and up to which one the list of
// engines shows what happened.
func (d *Doubts) Take(back map[string]uint64, covered uint64, now time.Duration) {
	next := map[string]doubt{}
	for site, serial := range back {
		if serial <= covered {
			continue
		}
		known, ok := d.sites[site]
		if !ok || known.serial != serial {
			known = doubt{serial, now}
		}
		next[site] = known
	}
	d.sites = next
}

// Since is from when on a site's engines may be cold as far as this node knows; false
// where the list tells.
func (d *Doubts) Since(site string) (time.Duration, bool) {
	known, ok := d.sites[site]
	return known.since, ok
}
