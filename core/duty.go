package core

import (
	"time"

	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/wire"
)

// Duty is one task of which its key's owner is the one doer (section 4.4).
type Duty struct {
	Key     string
	nearest time.Duration // since when this node is the nearest without a break
	near    bool
	named   bool // the former holder handed it over
	held    bool
	nearer  string        // while held: another node that is nearest now
	since   time.Duration // since when
}

func (c *Core) duty(key string) *Duty {
	d := c.duties[key]
	if d == nil {
		d = &Duty{Key: key}
		c.duties[key] = d
	}
	return d
}

// HoldDown is how long a node must have been the nearest before it takes a duty
// that was not handed to it: control does not follow a flapping node (section 4.4).
func (c *Core) HoldDown() time.Duration { return c.settings.Bounds.Recovery.D() / 4 }

// holdDown is that of one duty: a lost disk is replaced within another bound.
func (c *Core) holdDown(key string) time.Duration {
	if key == KeyDisks {
		return min(c.catchUp()/8, c.HoldDown())
	}
	return c.HoldDown()
}

// Hold tells whether this node has a duty now; it takes or gives it by the ring.
// Two nodes may both think so for a moment: what a duty does is safe by epochs.
func (c *Core) Hold(key string) bool {
	d := c.duty(key)
	now := c.ports.Now()
	owner := c.Owner(key)
	if owner != c.Self() || !c.Member.Joined() {
		if d.held && owner != "" && c.Member.Joined() {
			// The holder names its successor, which then need not wait; but it keeps
			// the duty from a node that has only just come, and may go again.
			if d.nearer != owner {
				d.nearer, d.since = owner, now
			}
			if now-d.since < c.holdDown(key) {
				return true
			}
			c.giveUp(d, owner)
		}
		d.near, d.named, d.held = false, false, false
		return false
	}
	d.nearer = ""
	if !d.near {
		d.near, d.nearest = true, now
	}
	if !d.held && (d.named || now-d.nearest >= c.holdDown(key)) && c.Keeper.Held() {
		d.held = true
		c.ports.Say(event.DutyTaken, event.Fields{"key": key, "named": d.named})
	}
	return d.held
}

func (c *Core) giveUp(d *Duty, successor string) {
	d.held, d.named, d.nearer = false, false, ""
	c.Holder.Drop(d.Key)
	c.ports.Frame(successor, register.Message{Kind: register.KindName, From: c.Self(), Key: d.Key}, wire.Cohort{})
	c.ports.Say(event.DutyGiven, event.Fields{"key": d.Key, "to": successor})
}

// Leave hands every duty to the node that is nearest without this one, and
// leaves the ring.
func (c *Core) Leave() {
	for _, d := range c.duties {
		if !d.held {
			continue
		}
		for _, addr := range (nearest{c}).Nearest(d.Key) {
			if addr != c.Self() {
				c.giveUp(d, addr)
				break
			}
		}
	}
	c.Member.Leave()
}

// ConflictBackoff keeps two nodes that both believe in their duty, as under an
// asymmetric cut, from taking a key from each other again and again: whoever
// lost it without having named a successor waits, longer each time.
type ConflictBackoff struct {
	mine bool
	lost time.Duration
	wait time.Duration
}

// MayTake is asked at each look at the key: holder tells whether it stands under
// this node's epoch.
func (r *ConflictBackoff) MayTake(holder bool, now, holdDown time.Duration) bool {
	switch {
	case holder:
		if r.wait > 0 && now-r.lost > 32*holdDown {
			r.wait = 0
		}
		r.mine = true
		return true
	case r.mine:
		r.mine, r.lost = false, now
		r.wait = min(max(2*r.wait, holdDown), 16*holdDown)
	}
	if r.wait > 0 && now-r.lost < r.wait {
		return false
	}
	r.mine = true // it is taken now; a try that fails counts as a loss
	return true
}
