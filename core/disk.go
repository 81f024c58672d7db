package core

import (
	"time"

	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
)

// recovery brings this node's disk back after a write or sync has failed (section 3.4).
// The first try follows at once, the others after pauses that double up to a bound.
// From the first try that fails until one succeeds, the table says that this node
// serves no disk: whoever changes the disk set counts it as absent (section 3.8).
type recovery struct {
	began time.Duration // the first try since the disk was trusted
	due   time.Duration
	pause time.Duration
	tries int
}

// firstPause and longestPause bound the time between two tries to write the state.
func (c *Core) firstPause() time.Duration   { return c.catchUp() / 64 }
func (c *Core) longestPause() time.Duration { return c.catchUp() / 8 }

// tickDisk tries to write a suspect disk's state anew when a try is due.
func (c *Core) tickDisk(now time.Duration) {
	r := &c.recovery
	if c.Acceptor.State() != register.DiskSuspect || now < r.due {
		return
	}
	if r.tries == 0 {
		r.began, r.pause = now, c.firstPause()
	}
	r.tries++
	acceptor := c.Acceptor
	acceptor.Recover(func(err error) {
		if err != nil {
			c.recoveryFailed()
			return
		}
		c.recovered()
	})
}

func (c *Core) recoveryFailed() {
	r := &c.recovery
	r.due = c.ports.Now() + r.pause
	r.pause = min(2*r.pause, c.longestPause())
	c.Member.SetDisk("")
}

// recovered has the disk vote again, under the set that is in use by now.
func (c *Core) recovered() {
	took := c.ports.Now() - c.recovery.began
	c.ports.Say(event.DiskRecovered, event.Fields{"tries": c.recovery.tries, "took_ms": took.Milliseconds()})
	c.recovery = recovery{}
	if !c.retiring {
		c.Member.SetDisk(c.Acceptor.Identity())
	}
	c.tellDisk(c.Holder.Set())
	c.mend.compared = nil
	c.mend.due = 0 // it has missed what was written meanwhile
}

// tellDisk has this node's disk take a set, if it is newer than its own.
func (c *Core) tellDisk(set quorum.VoterSet) {
	if c.Acceptor != nil {
		c.Acceptor.Handle(register.Message{Kind: register.KindSet, Set: set}, func(register.Message) {})
	}
}

// Attach takes a disk that could be opened only after this node was started. The
// nodes that found the fleet are those of the moment when the disk was born.
func (c *Core) Attach(acceptor *register.Acceptor, founders []string) {
	c.Acceptor = acceptor
	if len(founders) == 0 {
		acceptor.Late()
	}
	c.Founder.Attach(acceptor, founders)
	if acceptor.Trusted() {
		c.Member.SetDisk(acceptor.Identity())
	}
	if acceptor.Set().Formed() {
		c.newSet(acceptor.Set())
	}
	c.tellDisk(c.Holder.Set())
}
