package core

import (
	"time"

	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/wire"
)

// repairer compares this disk's range digests with another disk's, one at a time,
// and takes what is newer there (section 3.6).
type repairer struct {
	due     time.Duration
	ask     uint64
	from    string
	at      int
	waiting map[uint32]bool
	serial  uint64 // the set's serial when this round began
	floor   uint64
	// compared are the disks that this one has compared itself with, in this life.
	compared map[string]bool
}

func (c *Core) tickRepair(now time.Duration) {
	if forgot := c.Acceptor.Forgot(); forgot > 0 {
		c.ports.Say(event.DiskPruned, event.Fields{"keys": forgot})
	}
	set := c.Holder.Set()
	if now < c.mend.due || !c.Acceptor.Trusted() || !set.Formed() || !set.Has(c.Acceptor.Identity()) {
		return
	}
	c.mend.due = now + c.settings.Bounds.Recovery.D()/2
	disks := c.served(set.All(), c.mend.compared)
	if c.copying(set) {
		disks = c.repairSources(set)
	}
	if len(disks) > 0 {
		// A disk that is being admitted copies with haste, and one that is back compares
		// itself with each other one before it takes its time.
		c.mend.due = now + c.catchUp()/32
	} else {
		disks = set.All()
	}
	for range disks {
		c.mend.at++
		d := disks[c.mend.at%len(disks)]
		if d.Identity == c.Acceptor.Identity() {
			continue
		}
		c.mend.ask, c.mend.from = c.ports.Uint64(), d.Identity
		c.mend.waiting, c.mend.serial = map[uint32]bool{}, set.Serial
		c.askDisk(d.Addr, register.KindDigest, 0)
		return
	}
}

// repairSources lists the disks that one compares with that is being admitted: the old ones
// that it has not copied yet, and of these the ones that somebody serves.
func (c *Core) repairSources(set quorum.VoterSet) []quorum.Disk {
	taken := c.change.taken
	if c.change.takenFor != set.Serial {
		taken = nil
	}
	if out := c.served(set.Disks, taken); len(out) > 0 {
		return out
	}
	return set.Disks
}

// served lists those of other disks that somebody serves, but for some.
func (c *Core) served(disks []quorum.Disk, but map[string]bool) (out []quorum.Disk) {
	for _, d := range disks {
		e, alive, _ := c.Member.Known(d.Addr)
		if alive && e.Disk == d.Identity && !but[d.Identity] && d.Identity != c.Acceptor.Identity() {
			out = append(out, d)
		}
	}
	return out
}

func (c *Core) askDisk(to string, kind register.Kind, at uint32) {
	c.ports.Frame(to, register.Message{
		Kind: kind, Ask: c.mend.ask, From: c.Self(), Set: quorum.VoterSet{Serial: c.mend.serial}, Range: at,
	}, wire.Cohort{})
}

func (c *Core) receiveRepair(m register.Message) {
	if c.Acceptor == nil || m.Ask != c.mend.ask || m.Disk != c.mend.from || !m.Yes {
		return
	}
	if !c.Acceptor.Trusted() {
		return // it takes no cells now: this round is never whole, and another one follows
	}
	if m.Kind == register.KindDigests {
		c.mend.floor = m.Floor
		for i, mine := range c.Acceptor.Digests() {
			if i < len(m.Digests) && m.Digests[i] != mine {
				c.mend.waiting[uint32(i)] = true
				c.askDisk(m.From, register.KindRange, uint32(i))
			}
		}
		c.repairedFrom()
		return
	}
	if !c.mend.waiting[m.Range] {
		return
	}
	delete(c.mend.waiting, m.Range)
	// A long copy goes on as long as it makes progress.
	c.mend.due = max(c.mend.due, c.ports.Now()+min(c.settings.Bounds.Recovery.D()/12, c.catchUp()/8))
	mended := 0
	for _, kc := range m.Entries {
		if c.Acceptor.Repair(kc, c.joining(c.Holder.Set())) {
			mended++
		} else if c.Acceptor.Refuses(kc) {
			c.settle(kc.Key, true)
		}
	}
	if mended > 0 {
		c.ports.Say(event.DiskMended, event.Fields{"cells": mended, "from": m.Disk})
	}
	c.repairedFrom()
}

// repairedFrom notes that all of one disk's cells were taken over, once all
// ranges that differed have come.
func (c *Core) repairedFrom() {
	if len(c.mend.waiting) > 0 {
		return
	}
	if c.mend.compared == nil {
		c.mend.compared = map[string]bool{}
	}
	c.mend.compared[c.mend.from] = true
	had := len(c.change.taken)
	c.copied(c.mend.from, c.mend.serial, c.mend.floor)
	if len(c.change.taken) != had && c.copying(c.Holder.Set()) {
		c.mend.due = 0 // the next one at once
	}
}
