// Package lease keeps a node's permit: the short time for which a majority of
// disks confirmed that what this node holds of the control state is the newest
// (design.md section 4.2). No new go starts without one.
package lease

import (
	"slices"
	"sort"
	"time"

	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
)

// Clock is boot time.
type Clock interface{ Now() time.Duration }

// Net carries messages to disks.
type Net interface {
	Send(to string, m register.Message)
}

// Ports is what a keeper needs of its node.
type Ports interface {
	Set() quorum.VoterSet
	NewSet(quorum.VoterSet)
	// Settle asks the key's holder to finish a write that the disks disagree on.
	Settle(key string)
	// Adopt takes a cell that a majority holds.
	Adopt(key string, cell register.Entry)
	// Relays are the nodes that may reach the disks where this one does not.
	Relays() []string
}

// Timing as ratios to the bound of section 1.3: a permit and the renewal under
// way when it ran out together stay below the bound.
type Timing struct{ Renew, Lease time.Duration }

// TimingFor derives the intervals from the in-force bound.
func TimingFor(bound time.Duration) Timing {
	return Timing{Renew: bound / 8, Lease: bound * 5 / 8}
}

// Keeper is not safe for concurrent use.
type Keeper struct {
	self   string
	clock  Clock
	net    Net
	ports  Ports
	timing Timing

	keys    []string
	cells   map[string]register.Entry
	until   time.Duration
	ask     uint64
	sent    time.Duration // when the newest round was asked: what it shows is as old as that
	due     time.Duration // of the next round
	again   time.Duration // when those that have not replied are asked once more
	turn    int           // of the relays
	open    bool
	held    []register.KeyEntry                     // of the keys, at the last ask
	whole   bool                                    // a disk is there that does not know brief queries
	fetches map[string]*fetch                       // long values that one disk is asked for
	replies map[string]map[string]register.KeyEntry // disk, key
	// Rounds counts permits asked for and granted.
	Asked, Granted uint64
}

// New makes a keeper of the given keys, without a permit. Its ask numbers must
// not meet those of the node's other askers, hence the first one.
func New(self string, clock Clock, net Net, ports Ports, timing Timing, firstAsk uint64) *Keeper {
	return &Keeper{
		self: self, clock: clock, net: net, ports: ports, timing: timing,
		ask: firstAsk, cells: map[string]register.Entry{}, fetches: map[string]*fetch{},
	}
}

// Want sets the keys that a permit covers. A permit given for fewer keys is void.
func (k *Keeper) Want(keys []string) {
	sorted := append([]string(nil), keys...)
	sort.Strings(sorted)
	if slices.Equal(sorted, k.keys) {
		return
	}
	for _, key := range sorted {
		if !contains(k.keys, key) {
			k.until = 0
			k.open = false
			k.due = k.clock.Now()
		}
	}
	k.keys = sorted
}

func contains(keys []string, key string) bool {
	at := sort.SearchStrings(keys, key)
	return at < len(keys) && keys[at] == key
}

// Held tells whether a new go may start now.
func (k *Keeper) Held() bool { return k.clock.Now() < k.until }

// Until is when the permit runs out.
func (k *Keeper) Until() time.Duration { return k.until }

// Longest is how long a permit lasts at most, counted from when it was asked for.
func (k *Keeper) Longest() time.Duration { return k.timing.Lease }

// Cell is what this node holds of a key.
func (k *Keeper) Cell(key string) register.Entry { return k.cells[key] }

// Hurry renews at the next tick: something is known to have changed.
func (k *Keeper) Hurry() { k.due = k.clock.Now() }

// Void drops an answer under way: it was asked of another set of disks.
func (k *Keeper) Void() {
	k.open = false
	k.Hurry()
}

// Tick renews the permit when it is time.
func (k *Keeper) Tick() {
	now := k.clock.Now()
	set := k.ports.Set()
	if !set.Formed() || len(k.keys) == 0 {
		return
	}
	if now < k.due {
		// While the permit runs out, those that have not replied hear the same ask again
		// and again, also through others: they may just be coming back, or be cut off
		// from here alone. The permit counts from the first time.
		if k.open && now >= k.again && now >= k.until-k.timing.Lease/2 {
			k.send(set)
			k.carry()
		}
		return
	}
	if k.open {
		k.settle(set)
	}
	k.ask++
	k.sent, k.due, k.open = now, now+k.timing.Renew, true
	k.Asked++
	k.replies = map[string]map[string]register.KeyEntry{}
	k.send(set)
}

// carry has the next relay ask the disks.
func (k *Keeper) carry() {
	relays := k.ports.Relays()
	if len(relays) == 0 {
		return
	}
	k.turn++
	m := k.message(k.ports.Set())
	m.Kind = register.KindCarry
	k.net.Send(relays[k.turn%len(relays)], m)
}

// send asks the disks that have not replied yet.
func (k *Keeper) send(set quorum.VoterSet) {
	k.again = k.clock.Now() + k.timing.Renew/8
	m := k.message(set)
	for _, d := range set.All() {
		if k.replies[d.Identity] == nil {
			k.net.Send(d.Addr, m)
		}
	}
}

func (k *Keeper) message(set quorum.VoterSet) register.Message {
	m := register.Message{Kind: register.KindQuery, Ask: k.ask, From: k.self, Set: quorum.VoterSet{Serial: set.Serial}}
	k.held = nil
	for _, key := range k.keys {
		cell := k.cells[key]
		k.held = append(k.held, register.KeyEntry{Key: key, Entry: register.Entry{Epoch: cell.Epoch, Serial: cell.Serial}, Bare: cell.Serial > 0})
	}
	if k.whole {
		m.Entries = k.held
	} else {
		m.Brief(k.held)
	}
	return m
}

// settle is called for a round that did not end: keys on which the disks that
// replied differ are finished by their holder.
func (k *Keeper) settle(set quorum.VoterSet) {
	if !set.Majority(func(d string) bool { return k.replies[d] != nil }) {
		return
	}
	for _, key := range k.keys {
		if _, ok := k.chosen(set, key); !ok {
			k.ports.Settle(key)
		}
	}
}

// Sent is when a round was asked, while it is the newest; false for any other ask.
func (k *Keeper) Sent(ask uint64) (time.Duration, bool) { return k.sent, k.open && ask == k.ask }

// Receive takes a disk's reply; false when the ask is not this keeper's.
func (k *Keeper) Receive(in register.Message) bool {
	if in.Ask&fetchAsk != 0 {
		k.fetched(in)
		return true
	}
	if in.Ask != k.ask {
		return false
	}
	if !k.open {
		return true
	}
	set := k.ports.Set()
	if !in.Yes {
		if in.Reason == register.ReasonSetOld && in.Set.Serial > set.Serial {
			k.ports.NewSet(in.Set)
			k.open = false
			k.Hurry()
		}
		return true
	}
	if in.Kind != register.KindQueried || !set.Has(in.Disk) {
		return true
	}
	had := map[string]register.KeyEntry{}
	switch {
	case in.Again:
		// What a brief reply does not name is as it was asked.
		for _, kc := range k.held {
			had[kc.Key] = kc
		}
	case !k.whole:
		// A disk of an older release does not know brief queries.
		k.whole, k.open = true, false
		k.Hurry()
		return true
	}
	for _, kc := range in.Entries {
		had[kc.Key] = kc
	}
	k.replies[in.Disk] = had
	k.decide(set)
	return true
}

// chosen finds the cell of a key that a majority of the disks holds alike. Any
// later write that was answered with yes would show on one of them.
func (k *Keeper) chosen(set quorum.VoterSet, key string) (register.KeyEntry, bool) {
	for _, d := range set.All() {
		mine, ok := k.replies[d.Identity][key]
		if !ok {
			continue
		}
		if set.Majority(func(o string) bool {
			theirs, ok := k.replies[o][key]
			return ok && theirs.Entry.Same(mine.Entry)
		}) {
			return mine, true
		}
	}
	return register.KeyEntry{}, false
}

func (k *Keeper) decide(set quorum.VoterSet) {
	found, lacking := map[string]register.KeyEntry{}, false
	for _, key := range k.keys {
		kc, ok := k.chosen(set, key)
		if !ok {
			return
		}
		if kc.Entry.Serial < k.cells[key].Serial {
			return // never back to an older one (section 4.2)
		}
		if kc.Bare && !kc.Entry.Same(k.cells[key]) {
			cell, had := k.value(set, key, kc.Entry)
			if !had {
				lacking = true
				continue
			}
			kc.Entry, kc.Bare = cell, false
		}
		found[key] = kc
	}
	if lacking {
		return
	}
	k.open = false
	before := k.keys
	for _, key := range before {
		kc := found[key]
		if kc.Entry.Same(k.cells[key]) {
			continue
		}
		cell := kc.Entry
		if kc.Bare {
			cell.Value = k.cells[key].Value
		}
		k.cells[key] = cell
		delete(k.fetches, key)
		k.ports.Adopt(key, cell)
	}
	// Adopting a desk may have added keys: then this round does not cover them.
	if len(before) == len(k.keys) && (len(before) == 0 || &before[0] == &k.keys[0]) {
		k.until = max(k.until, k.sent+k.timing.Lease)
		k.Granted++
	}
}
