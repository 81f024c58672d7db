// Package freshness tells how old a node's knowledge of the list of engines is, and
// when it must look at the list itself (design.md section 4.6). One node polls the
// list by duty; that node may die or freeze, and an engine that leaves gets no new work
// within a bound all the same.
package freshness

import "time"

// Timing as ratios to the bound within which engines that leave get no new work.
type Timing struct {
	Every time.Duration // between two looks of the node that has the duty
	Stale time.Duration // knowledge older than this is looked after by whoever has it
	Turns time.Duration // within it all nodes have had their turn
}

// TimingFor derives the intervals: two threshold ages, the turns and a permit's length
// stay together below the bound.
func TimingFor(engineLeave time.Duration) Timing {
	return Timing{Every: engineLeave / 6, Stale: engineLeave * 7 / 20, Turns: engineLeave / 4}
}

// look is when a look at the list began, in this node's time, and the serial of the
// register that holds what it saw.
type look struct {
	at     time.Duration
	serial uint64
	any    bool
}

// Watch is one node's knowledge. It is not safe for concurrent use.
type Watch struct {
	timing  Timing
	holds   uint64 // the serial in force here
	held    look   // the newest look whose serial is in force
	ahead   look   // a newer look whose serial is not in force here yet
	own     look   // this node's own newest look
	stays   map[string]bool
	started time.Duration
	tried   time.Duration
	ever    bool
}

// New makes the knowledge of a node that has just started: it knows nothing.
func New(timing Timing, now time.Duration) *Watch { return &Watch{timing: timing, started: now} }

// Timing is what the watch keeps to.
func (w *Watch) Timing() Timing { return w.timing }

// Heard takes the news that the list was looked at, and that the register holds what
// was seen under a serial. What it says counts once that serial is in force here.
func (w *Watch) Heard(at time.Duration, serial uint64) {
	switch {
	case serial <= w.holds:
		if !w.held.any || at > w.held.at {
			w.held = look{at, serial, true}
		}
	case !w.ahead.any || serial > w.ahead.serial || serial == w.ahead.serial && at > w.ahead.at:
		w.ahead = look{at, serial, true}
	}
}

// Holds says which serial is in force here.
func (w *Watch) Holds(serial uint64) {
	w.holds = serial
	if w.ahead.any && w.ahead.serial <= serial {
		if !w.held.any || w.ahead.at > w.held.at {
			w.held = w.ahead
		}
		w.ahead = look{}
	}
}

// Tried says that this node begins a look of its own.
func (w *Watch) Tried(now time.Duration) { w.tried, w.ever = now, true }

// Looked takes what this node saw itself in a look that began at some time: the ids of
// the engines that stay.
func (w *Watch) Looked(began time.Duration, stays map[string]bool) {
	if !w.own.any || began > w.own.at {
		w.own, w.stays = look{at: began, any: true}, stays
	}
}

// Newest is when the newest look began that this node may pass on, with its serial;
// false without one. A look of its own that the register does not hold is not passed on.
func (w *Watch) Newest() (at time.Duration, serial uint64, ok bool) {
	return w.held.at, w.held.serial, w.held.any
}

// Age is how old this node's knowledge of the list is.
func (w *Watch) Age(now time.Duration) time.Duration {
	at := w.started
	for _, l := range []look{w.held, w.own} {
		if l.any && l.at > at {
			at = l.at
		}
	}
	return now - at
}

// Stays is false for an engine that is in the register's list, while this node has seen
// more lately itself that it leaves or is gone. What was added counts only once the
// register has it.
func (w *Watch) Stays(id string) bool {
	if !w.own.any || w.held.any && w.held.at >= w.own.at {
		return true
	}
	return w.stays[id]
}

// Due tells whether this node is to look at the list itself now. Nodes have their turns
// by rank, the duty's nearest first, so that one that looks and passes it on spares the
// others the call. All nodes together stay below rate calls a second, at calls a look.
func (w *Watch) Due(now time.Duration, rank, nodes, calls int, rate float64) bool {
	nodes = max(nodes, 1)
	turn := w.timing.Turns * time.Duration(min(rank, nodes)) / time.Duration(nodes)
	if w.Age(now) < w.timing.Stale+turn {
		return false
	}
	if !w.ever {
		return true
	}
	apart := w.timing.Stale
	if rate > 0 {
		apart = max(apart, time.Duration(float64(nodes*max(calls, 1))/rate*float64(time.Second)))
	}
	return now-w.tried >= apart
}
