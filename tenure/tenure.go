// Package tenure tells who may give orders that have an effect outside the fleet, and
// from when on (design.md section 4.5). A record that names the holder is chosen by a
// majority, in the register that holds what is ordered; the term that it bears is the
// fence of all orders of that holder and of nobody else's. A new holder waits until the
// former one's last order is out of the way.
package tenure

import "time"

// Record is the part of a register's value that says whose orders it stands for.
type Record struct {
	Holder string `json:"holder,omitempty"` // the node's address
	Term   uint64 `json:"term,omitempty"`   // the fence: it belongs to one holder for good
}

// Base is what a write builds on: the register's cell, and the record in its value.
type Base struct {
	Record Record
	Serial uint64
	Epoch  uint64 // its count
}

// firstTerm is the term of a register's first write: nobody gave orders before it.
const firstTerm = 1

// Next is the record that a write of self on top of base bears. The term rises with the
// holder only. It is also above what releases without a term used as fences: the serial
// and the count of the epoch.
func (b Base) Next(self string) Record {
	if b.Record.Term > 0 && b.Record.Holder == self {
		return b.Record
	}
	return Record{Holder: self, Term: max(b.Record.Term, b.Serial, b.Epoch) + 1}
}

// Tenure is what one life of a node remembers of its own terms. It is not safe for
// concurrent use.
type Tenure struct {
	self string
	wait time.Duration
	term uint64
	from time.Duration // when its orders may begin
}

// Wait is how long a new holder holds back, counted from when it knows its record to be
// chosen. The former holder orders under a permit that was asked for before that, and
// so is over a permit's length later; orders of two holders must not come within a lease
// of each other, and an order may be on its way for a moment.
func Wait(permit, lease time.Duration) time.Duration { return permit + lease + lease/16 }

// New makes the memory of a node that has begun.
func New(self string, wait time.Duration) *Tenure { return &Tenure{self: self, wait: wait} }

// May tells whether this node may give orders now, where the record is known to be chosen.
// A term that this life has not seen before is waited out, whoever wrote it.
func (t *Tenure) May(r Record, now time.Duration) bool {
	if r.Term == 0 || r.Holder != t.self {
		return false
	}
	if r.Term != t.term {
		t.term, t.from = r.Term, now
		if r.Term != firstTerm {
			t.from += t.wait
		}
	}
	return now >= t.from
}

// Still tells whether an order of a term may go out, that was made when the register's
// cell had the given serial: what a permit that lasts still shows now is of that term too,
// or older than what this node itself wrote and knows to be chosen.
func Still(term, serial uint64, shown Base) bool {
	return shown.Serial < serial || shown.Record.Term == term
}
