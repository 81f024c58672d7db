package node

import (
	"time"

	"linedrum.example/linedrum/calot"
	"linedrum.example/linedrum/event"
)

// tableNews gathers what came or went in the table within a moment, so that a fleet
// that starts at one moment writes a line for a burst, and not one for each pair of
// nodes. Guarded by the core lock.
type tableNews struct {
	number event.Number
	first  time.Duration
	of     []calot.Entry
}

// add takes one change; a change of the other kind is written after what came before.
func (t *tableNews) add(number event.Number, e calot.Entry, now time.Duration, say func(event.Number, event.Fields)) {
	if len(t.of) > 0 && t.number != number {
		t.say(say)
	}
	if len(t.of) == 0 {
		t.number, t.first = number, now
	}
	t.of = append(t.of, e)
}

// say writes what was gathered.
func (t *tableNews) say(say func(event.Number, event.Fields)) {
	switch len(t.of) {
	case 0:
		return
	case 1:
		e := t.of[0]
		say(t.number, event.Fields{"addr": e.Addr, "incarnation": e.Incarnation, "site": e.Site})
	default:
		addrs := make([]string, 0, len(t.of))
		for _, e := range t.of {
			addrs = append(addrs, e.Addr)
		}
		say(t.number, event.Fields{"members": len(addrs), "addrs": addrs})
	}
	t.of = t.of[:0]
}
