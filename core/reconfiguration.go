package core

import (
	"encoding/json"
	"time"

	"linedrum.example/linedrum/calot"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/ring"
	"linedrum.example/linedrum/wire"
)

// reconfiguration replaces lost disks by new ones, and adds disks to a set that bears too
// little (section 3.8). The set to come is itself a register, so that one change at a
// time is decided. First the joint set is recorded and sent out: from then on a
// majority of both old and new disks is asked for. The new disks copy every cell from
// a majority of the old ones, each of which has taken the joint set. Only then is the
// new set alone recorded and sent out. Whoever has the duty carries on from the record.
type reconfiguration struct {
	due      time.Duration
	spreadAt time.Duration
	absent   map[string]time.Duration // voting disk: since when nobody serves it
	fresh    map[string]time.Duration // unknown disk: since when it is in the table
	shunned  map[string]time.Duration // unknown disk: it did not copy; passed over until then
	joint    uint64                   // the joint set that is being finished
	since    time.Duration            // since when
	open     time.Duration            // since when a change is called for; 0: none is
	busy     bool
	readyFor uint64          // this disk: the joint set's serial that it has copied everything for
	taken    map[string]bool // this disk: copied whole from these, under takenFor
	takenFor uint64
	floor    uint64
	ask      uint64
	ready    map[string]uint64 // duty: what disks say of themselves
}

// catchUp is the bound within which a machine that is back votes again; every wait
// on the way is a part of it (section 1.3).
func (c *Core) catchUp() time.Duration { return c.settings.Bounds.CatchUp.D() }

// copying tells whether this disk is being admitted and has not copied everything.
func (c *Core) copying(set quorum.VoterSet) bool {
	return c.joining(set) && c.change.readyFor != set.Serial
}

func (c *Core) joining(set quorum.VoterSet) bool {
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
	old := quorum.VoterSet{Serial: serial, Disks: set.Disks}
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
	c.change.due = now + c.catchUp()/64
	set := c.Holder.Set()
	wait, mine := c.changePatience()
	if !set.Formed() || !mine {
		c.change.absent, c.change.fresh, c.change.shunned, c.change.joint, c.change.open = nil, nil, nil, 0, 0
		return
	}
	if c.change.absent == nil {
		c.change.absent, c.change.fresh, c.change.shunned = map[string]time.Duration{}, map[string]time.Duration{}, map[string]time.Duration{}
	}
	next := set.Next
	if len(set.Next) == 0 {
		next = c.wanted(now, set)
	}
	if next == nil {
		c.change.open = 0
		return
	}
	if c.change.open == 0 {
		c.change.open = now
	}
	switch {
	case now-c.change.open < wait:
	case len(set.Next) > 0:
		c.finishChange(now, set)
	default:
		c.record(set, quorum.VoterSet{Serial: set.Serial + 1, Disks: set.Disks, Next: next})
	}
}

// standIns is how many nodes next to the duty's holder do its work in its place.
const standIns = 2

// changePatience tells whether this node changes the set, and how long a change must
// have been called for before it does: the duty's holder acts at once, the nodes next to
// it in turn, where it does not, since it may reach the other nodes and not the disks.
func (c *Core) changePatience() (wait time.Duration, mine bool) {
	if c.Hold(KeyDisks) {
		return 0, true
	}
	rank := c.Member.Rank(ring.Of(KeyDisks))
	if rank == 0 || rank > standIns || !c.Keeper.Held() {
		return 0, false
	}
	return time.Duration(rank) * c.catchUp() / 4, true
}

// wanted finds the disks that should vote instead of a set's, nil where these are right.
func (c *Core) wanted(now time.Duration, set quorum.VoterSet) []quorum.Disk {
	served, at := c.servedDisks()
	var members, fresh []quorum.Candidate
	sees := quorum.VoterSet{Serial: set.Serial, Disks: set.Disks}.Majority(func(d string) bool { return served[d].Addr != "" })
	whole := true
	for _, d := range set.Disks {
		e, _, _ := c.Member.Known(d.Addr)
		whole = whole && served[d.Identity].Addr != ""
		members = append(members, quorum.Candidate{Disk: d, Site: e.Site, Gone: c.gone(now, d, served, at)})
	}
	newest := time.Duration(0)
	seen := map[string]bool{}
	for _, e := range served {
		if set.Old(e.Disk) {
			continue
		}
		seen[e.Disk] = true
		if _, had := c.change.fresh[e.Disk]; !had {
			c.change.fresh[e.Disk] = now
		}
		newest = max(newest, c.change.fresh[e.Disk])
		wait := c.catchUp() / 16
		for _, d := range set.Disks {
			if d.Addr == e.Addr {
				wait = 0 // a member's own machine is back with an empty disk: there is nothing to wait for
			}
		}
		if now-c.change.fresh[e.Disk] >= wait && now >= c.change.shunned[e.Disk] {
			fresh = append(fresh, quorum.Candidate{Disk: quorum.Disk{Identity: e.Disk, Addr: e.Addr}, Site: e.Site})
		}
	}
	for id := range c.change.fresh {
		if !seen[id] {
			delete(c.change.fresh, id)
		}
	}
	if !sees || len(fresh) == 0 {
		return nil // whoever sees no majority of the disks is itself the one that is away
	}
	machines := c.settings.CanLose.Machines
	if now-newest < c.catchUp()/8 || !whole {
		machines = 0 // more may be coming: the set grows by all of them at once, and round no lost disk
	}
	return quorum.Choose(members, fresh, machines)
}

// servedDisks lists the disks in the table by identity, and their identities by address.
func (c *Core) servedDisks() (served map[string]calot.Entry, at map[string]string) {
	served, at = map[string]calot.Entry{}, map[string]string{}
	for _, e := range c.Member.Alive() {
		if e.Disk != "" {
			served[e.Disk], at[e.Addr] = e, e.Disk
		}
	}
	return served, at
}

// gone tells whether a disk of the set is to be replaced: at once where its machine is
// back with another disk, after a moment where the table says that it departed, or that
// it is there and serves no disk, and later where the table has not known it yet.
func (c *Core) gone(now time.Duration, d quorum.Disk, served map[string]calot.Entry, at map[string]string) bool {
	if served[d.Identity].Addr != "" {
		delete(c.change.absent, d.Identity)
		return false
	}
	since, had := c.change.absent[d.Identity]
	if !had {
		since = now
		c.change.absent[d.Identity] = now
	}
	wait := c.catchUp() / 2
	switch _, alive, departed := c.Member.Known(d.Addr); {
	case departed:
		wait = c.catchUp() / 16
	case alive:
		wait = c.longestPause() // its disk is suspect or lost
	}
	if other := at[d.Addr]; other != "" && other != d.Identity {
		wait = 0
	}
	return now-since >= wait
}

// finishChange sends the joint set out again, asks the new disks whether they
// are ready, and ends the change when they are. A new disk that is lost on the way, or
// does not get ready, is left out again: the old disks never stopped to vote.
func (c *Core) finishChange(now time.Duration, set quorum.VoterSet) {
	if c.change.joint != set.Serial {
		c.change.joint, c.change.since, c.change.spreadAt = set.Serial, now, 0
		c.change.ask = c.ports.Uint64() // one for the whole change: a slow disk's word counts when it comes
	}
	if now >= c.change.spreadAt {
		c.change.spreadAt = now + c.catchUp()/8
		c.spread(set)
	}
	served, at := c.servedDisks()
	ready, lost := true, false
	for _, d := range set.Next {
		if set.Old(d.Identity) || c.change.ready[d.Identity] == set.Serial {
			continue
		}
		ready = false
		if c.gone(now, d, served, at) {
			lost = true
		} else if now-c.change.since >= 4*c.catchUp() {
			lost = true
			c.change.shunned[d.Identity] = now + 16*c.catchUp()
		}
	}
	if ready {
		c.record(set, quorum.VoterSet{Serial: set.Serial + 1, Disks: set.Next})
		return
	}
	if lost {
		c.record(set, quorum.VoterSet{Serial: set.Serial + 1, Disks: set.Disks, Next: c.wanted(now, set)})
		return
	}
	for _, d := range set.Next {
		if !set.Old(d.Identity) {
			c.ports.Frame(d.Addr, register.Message{Kind: register.KindWho, Ask: c.change.ask, From: c.Self()}, wire.Cohort{})
		}
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
	c.change.ready[m.Disk] = max(c.change.ready[m.Disk], m.Base)
}

// spread sends a set to its disks and to the whole cohort.
func (c *Core) spread(set quorum.VoterSet) {
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

// record decides the next set through its register, and only then uses it. Where this
// node does not reach the disks itself, the next nearest one performs the operation.
func (c *Core) record(from, next quorum.VoterSet) {
	if c.change.busy {
		return
	}
	c.change.busy = true
	patience := c.settings.Bounds.InForce.D()
	c.Paths.Do(register.Request{Key: KeyDisks, Read: true, Patience: patience}, func(r register.Result) {
		if r.Outcome != register.Done {
			c.change.busy = false
			return
		}
		var held quorum.VoterSet
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
		c.Paths.Do(register.Request{Key: KeyDisks, Base: r.Cell.Serial, Op: c.OpID(), Value: value, Patience: patience}, func(r register.Result) {
			c.change.busy = false
			if r.Outcome == register.Done {
				c.decided(next)
			}
		})
	})
}

func (c *Core) decided(set quorum.VoterSet) {
	c.ports.Say(event.DiskSetDecided, event.Fields{"set": set.Serial, "disks": len(set.Disks), "next": len(set.Next)})
	c.newSet(set)
	c.spread(set)
}
