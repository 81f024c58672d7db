package core

import (
	"encoding/json"
	"time"

	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/wire"
)

// changer replaces a lost disk by a new one (section 3.8). The set to come is
// itself a register, so that one change at a time is decided. First the joint
// set is recorded and sent out: from then on a majority of both old and new
// disks is asked for. The new disk copies every cell from a majority of the old
// ones, each of which has taken the joint set. Only then is the new set alone
// recorded and sent out. Whoever has the duty carries on from the record.
type changer struct {
	due      time.Duration
	lost     map[string]time.Duration // disk: since when nobody serves it
	fresh    map[string]time.Duration // unknown disk: since when it is in the table
	busy     bool
	readyFor uint64          // this disk: the joint set's serial that it has copied everything for
	taken    map[string]bool // this disk: copied whole from these, under takenFor
	takenFor uint64
	floor    uint64
	ask      uint64
	ready    map[string]uint64 // duty: what disks say of themselves
}

// lostAfter is how long a disk must be out of the table before another takes its place.
func (c *Core) lostAfter() time.Duration { return c.settings.Bounds.Recovery.D() * 5 / 2 }

// copying tells whether this disk is being admitted and has not copied everything.
func (c *Core) copying(set quorum.Set) bool {
	return c.joining(set) && c.change.readyFor != set.Serial
}

func (c *Core) joining(set quorum.Set) bool {
	if c.Acceptor == nil || len(set.Next) == 0 {
		return false
	}
	mine := c.Acceptor.Identity()
	return set.Has(mine) && !set.Old(mine)
}

// copied notes that this disk holds all that another one held under a set.
func (c *Core) copied(from string, serial, floor uint64) {
	set := c.Holder.Set()
	if !c.copying(set) || serial != set.Serial || c.Acceptor.Set().Serial != serial {
		return
	}
	if c.change.takenFor != serial {
		c.change.takenFor, c.change.taken, c.change.floor = serial, map[string]bool{}, 0
	}
	c.change.taken[from] = true
	c.change.floor = max(c.change.floor, floor)
	old := quorum.Set{Serial: serial, Disks: set.Disks}
	if !old.Majority(func(d string) bool { return c.change.taken[d] }) {
		return
	}
	// All that was mended must be synced before this disk says that it is ready.
	c.Acceptor.Raise(c.change.floor, func(err error) {
		if err == nil && c.Holder.Set().Serial == serial {
			c.change.readyFor = serial
		}
	})
}

// tickChange is the duty of the key "disks".
func (c *Core) tickChange(now time.Duration) {
	if now < c.change.due {
		return
	}
	c.change.due = now + c.settings.Bounds.Recovery.D()/24
	set := c.Holder.Set()
	if !set.Formed() || !c.Hold(KeyDisks) {
		c.change.lost, c.change.fresh = nil, nil
		return
	}
	if len(set.Next) > 0 {
		c.finishChange(set)
		return
	}
	if next, ok := c.wanted(now, set); ok {
		c.record(set, next)
	}
}

// wanted finds a disk that nobody serves any more and an unknown one that can
// take its place. One is replaced at a time.
func (c *Core) wanted(now time.Duration, set quorum.Set) (quorum.Set, bool) {
	if c.change.lost == nil {
		c.change.lost, c.change.fresh = map[string]time.Duration{}, map[string]time.Duration{}
	}
	served := map[string]string{} // identity: address
	at := map[string]string{}     // address: identity
	var newcomer quorum.Disk
	for _, e := range c.Member.Alive() {
		if e.Disk == "" {
			continue
		}
		served[e.Disk], at[e.Addr] = e.Addr, e.Disk
		if set.Has(e.Disk) {
			continue
		}
		if _, had := c.change.fresh[e.Disk]; !had {
			c.change.fresh[e.Disk] = now
		}
		if newcomer.Identity == "" && now-c.change.fresh[e.Disk] >= c.HoldDown() {
			newcomer = quorum.Disk{Identity: e.Disk, Addr: e.Addr}
		}
	}
	for id := range c.change.fresh {
		if served[id] == "" {
			delete(c.change.fresh, id)
		}
	}
	lost := ""
	for _, d := range set.Disks {
		if served[d.Identity] != "" {
			delete(c.change.lost, d.Identity)
			continue
		}
		if _, had := c.change.lost[d.Identity]; !had {
			c.change.lost[d.Identity] = now
		}
		wait := c.lostAfter()
		if other := at[d.Addr]; other != "" && other != d.Identity {
			// Its own machine is back with an empty disk: there is nothing to wait for.
			wait = c.HoldDown()
		}
		if lost == "" && now-c.change.lost[d.Identity] >= wait {
			lost = d.Identity
		}
	}
	if lost == "" || newcomer.Identity == "" {
		return quorum.Set{}, false
	}
	next := quorum.Set{Serial: set.Serial + 1, Disks: set.Disks}
	for _, d := range set.Disks {
		if d.Identity != lost {
			next.Next = append(next.Next, d)
		}
	}
	next.Next = quorum.Sorted(append(next.Next, newcomer))
	return next, true
}

// finishChange sends the joint set out again, asks the new disks whether they
// are ready, and ends the change when they are.
func (c *Core) finishChange(set quorum.Set) {
	c.spread(set)
	ready := true
	for _, d := range set.Next {
		if !set.Old(d.Identity) && c.change.ready[d.Identity] != set.Serial {
			ready = false
		}
	}
	if ready {
		c.record(set, quorum.Set{Serial: set.Serial + 1, Disks: set.Next})
		return
	}
	c.change.ask = c.ports.Uint64()
	for _, d := range set.Next {
		c.ports.Frame(d.Addr, register.Message{Kind: register.KindWho, Ask: c.change.ask, From: c.Self()}, wire.Cohort{})
	}
}

// heardReady takes a disk's word that it has copied everything for a set.
func (c *Core) heardReady(m register.Message) {
	if m.Ask != c.change.ask || m.Disk == "" {
		return
	}
	if c.change.ready == nil {
		c.change.ready = map[string]uint64{}
	}
	c.change.ready[m.Disk] = m.Base
}

// spread sends a set to its disks and to the whole cohort.
func (c *Core) spread(set quorum.Set) {
	sent := map[string]bool{c.Self(): true}
	send := func(addr string) {
		if !sent[addr] {
			sent[addr] = true
			c.ports.Frame(addr, register.Message{Kind: register.KindSet, From: c.Self(), Set: set}, wire.Cohort{})
		}
	}
	for _, d := range set.All() {
		send(d.Addr)
	}
	for _, e := range c.Member.Alive() {
		send(e.Addr)
	}
}

// record decides the next set through its register, and only then uses it.
func (c *Core) record(from, next quorum.Set) {
	if c.change.busy {
		return
	}
	c.change.busy = true
	patience := c.settings.Bounds.InForce.D()
	c.Holder.Do(register.Request{Key: KeyDisks, Read: true, Patience: patience}, func(r register.Result) {
		if r.Outcome != register.Done {
			c.change.busy = false
			return
		}
		var held quorum.Set
		if r.Cell.Serial > 0 && json.Unmarshal(r.Cell.Value, &held) == nil && held.Serial > from.Serial {
			// It was decided before, by a holder that did not live to say so.
			c.change.busy = false
			c.decided(held)
			return
		}
		value, err := json.Marshal(next)
		if err != nil {
			panic(err)
		}
		c.Holder.Do(register.Request{Key: KeyDisks, Base: r.Cell.Serial, Op: c.OpID(), Value: value, Patience: patience}, func(r register.Result) {
			c.change.busy = false
			if r.Outcome == register.Done {
				c.decided(next)
			}
		})
	})
}

func (c *Core) decided(set quorum.Set) {
	c.ports.Say(event.DiskSetDecided, event.Fields{"set": set.Serial, "disks": len(set.Disks), "next": len(set.Next)})
	c.newSet(set)
	c.spread(set)
}
