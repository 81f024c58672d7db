package lease

import (
	"hash/fnv"
	"time"

	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
)

// fetch is a long value that a majority is known to hold, and that one disk is asked
// for. It outlives the round that showed the cell, so that a thin line gets there.
type fetch struct {
	cell  register.Entry // wanted; with its value once it is there
	there bool
	tries int
	due   time.Duration
}

// fetchAsk tells a fetch from the round beside it: the numbers of rounds stay below.
const fetchAsk = 1 << 63

// value gives the chosen cell with its value, or has it asked for.
func (k *Keeper) value(set quorum.VoterSet, key string, cell register.Entry) (register.Entry, bool) {
	f := k.fetches[key]
	if f == nil || !f.cell.Same(cell) {
		f = &fetch{cell: cell}
		k.fetches[key] = f
	}
	now := k.clock.Now()
	if f.there || now < f.due {
		return f.cell, f.there
	}
	// One that shows the cell, another at each try; each node begins at its own.
	var show []string
	for _, d := range set.All() {
		if kc, ok := k.replies[d.Identity][key]; ok && kc.Entry.Same(cell) {
			show = append(show, d.Addr)
		}
	}
	if len(show) == 0 {
		return f.cell, false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.self))
	m := register.Message{
		Kind: register.KindQuery, Ask: k.ask | fetchAsk, From: k.self, Set: quorum.VoterSet{Serial: set.Serial},
		Entries: []register.KeyEntry{{Key: key}},
	}
	to := show[(int(h.Sum32()>>8)+f.tries)%len(show)]
	if relays := k.ports.Relays(); f.tries > 1 && len(relays) > 0 {
		// Perhaps none is in reach: the round may have been carried.
		m.Kind, to = register.KindCarry, relays[f.tries%len(relays)]
	}
	k.net.Send(to, m)
	f.tries++
	f.due = now + 2*k.timing.Renew
	return f.cell, false
}

// fetched takes a value that was asked for; what was overtaken meanwhile is dropped.
func (k *Keeper) fetched(in register.Message) {
	if in.Kind != register.KindQueried || !in.Yes {
		return
	}
	for _, kc := range in.Entries {
		if f := k.fetches[kc.Key]; f != nil && !kc.Bare && kc.Entry.Same(f.cell) {
			f.cell, f.there = kc.Entry, true
		}
	}
	if k.open {
		k.decide(k.ports.Set())
	}
}
