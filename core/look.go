package core

import (
	"time"

	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/wire"
)

// look reads one key from a majority without writing anything.
type look struct {
	key     string
	replies map[string]register.Entry
	due     time.Duration
	done    func(register.Entry, bool)
}

// Look finds the cell that a majority of disks holds alike; false when they
// differ or too few reply in time.
func (c *Core) Look(key string, patience time.Duration, done func(register.Entry, bool)) {
	c.nextLook++
	set := c.Holder.Set()
	c.looks[c.nextLook] = &look{key: key, replies: map[string]register.Entry{}, due: c.ports.Now() + patience, done: done}
	for _, d := range set.All() {
		c.ports.Frame(d.Addr, register.Message{
			Kind: register.KindQuery, Ask: c.nextLook, From: c.Self(),
			Set: quorum.VoterSet{Serial: set.Serial}, Entries: []register.KeyEntry{{Key: key}},
		}, wire.Cohort{})
	}
}

func (c *Core) receiveLook(m register.Message) {
	l := c.looks[m.Ask]
	if l == nil || !m.Yes || len(m.Entries) != 1 || m.Entries[0].Key != l.key {
		return
	}
	l.replies[m.Disk] = m.Entries[0].Entry
	for _, mine := range l.replies {
		if c.Holder.Set().Majority(func(d string) bool {
			theirs, ok := l.replies[d]
			return ok && theirs.Same(mine)
		}) {
			delete(c.looks, m.Ask)
			l.done(mine, true)
			return
		}
	}
}

func (c *Core) tickLooks() {
	now := c.ports.Now()
	for ask, l := range c.looks {
		if now >= l.due {
			delete(c.looks, ask)
			l.done(register.Entry{}, false)
		}
	}
}
