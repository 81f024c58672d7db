package lease

import (
	"time"

	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
)

// Relay asks the disks on behalf of nodes that do not reach them, and hands on what
// these reply. A permit still counts from when its node asked, and stands on the same
// majority (design.md section 4.2). It is not safe for concurrent use.
type Relay struct {
	self    string
	clock   Clock
	net     Net
	set     func() quorum.VoterSet
	keep    time.Duration
	ask     uint64
	pending map[uint64]carried
}

// carried is one ask of another node.
type carried struct {
	from string
	ask  uint64
	due  time.Duration
}

const maxCarried = 256

// NewRelay makes a relay that waits for replies as long as timing lets a permit last.
// Its ask numbers must not meet those of the node's other askers, hence the first one.
func NewRelay(self string, clock Clock, net Net, set func() quorum.VoterSet, timing Timing, firstAsk uint64) *Relay {
	return &Relay{self: self, clock: clock, net: net, set: set, keep: timing.Lease, ask: firstAsk, pending: map[uint64]carried{}}
}

// Carry passes an ask to all disks.
func (r *Relay) Carry(in register.Message) {
	if len(r.pending) >= maxCarried || in.From == "" || in.From == r.self {
		return // whoever asked asks again
	}
	r.ask++
	r.pending[r.ask] = carried{in.From, in.Ask, r.clock.Now() + r.keep}
	in.Kind, in.Ask, in.From = register.KindQuery, r.ask, r.self
	for _, d := range r.set().All() {
		r.net.Send(d.Addr, in)
	}
}

// Receive hands on a disk's reply; false when it belongs to no ask carried here.
func (r *Relay) Receive(in register.Message) bool {
	c, had := r.pending[in.Ask]
	if !had {
		return false
	}
	in.Ask = c.ask
	r.net.Send(c.from, in)
	return true
}

// Tick forgets asks whose permit would be over.
func (r *Relay) Tick() {
	now := r.clock.Now()
	for ask, c := range r.pending {
		if now >= c.due {
			delete(r.pending, ask)
		}
	}
}
