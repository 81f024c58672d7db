package core

// Retire has this node's disk give up its vote, before the node leaves in order: the
// table says that no disk is served here, so that another one that waits takes its place
// (section 3.8). The disk votes on until then. Where machines may be lost one after the
// other, a leaver that took a vote along would count as one of them.
func (c *Core) Retire() {
	c.retiring = true
	c.Member.SetDisk("")
}

// Retired tells whether the node may leave: its disk does not vote, or no other disk
// waits that could take its place.
func (c *Core) Retired() bool {
	set := c.Holder.Set()
	if c.Acceptor == nil || !set.Has(c.Acceptor.Identity()) {
		return true
	}
	return len(set.Next) == 0 && !c.diskWaits()
}

// diskWaits tells whether a disk is served that does not vote.
func (c *Core) diskWaits() bool {
	served, _ := c.servedDisks()
	for identity := range served {
		if !c.Holder.Set().Has(identity) {
			return true
		}
	}
	return false
}
