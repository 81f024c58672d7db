package node

import (
	"math/rand/v2"
	"time"

	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/quorum"
	"linedrum.example/linedrum/register"
)

// mender compares this disk's range digests with another disk's, one at a time,
// and takes what is newer there (section 3.6).
type mender struct {
	rand     *rand.Rand
	due      time.Duration
	pruneDue time.Duration
	ask      uint64
	from     string
	at       int
	waiting  map[uint32]bool
}

func (n *Node) tickMend(now time.Duration) {
	set := n.holder.Set()
	if now < n.mend.due || !set.Formed() {
		return
	}
	n.mend.due = now + n.settings.Bounds.Recovery.D()/2
	disks := set.All()
	for range disks {
		n.mend.at++
		d := disks[n.mend.at%len(disks)]
		if d.Identity != n.acceptor.Identity() {
			n.mend.ask = n.mend.rand.Uint64()
			n.mend.from = d.Identity
			n.mend.waiting = map[uint32]bool{}
			n.link.Frame(d.Addr, n.diskAsk(register.KindDigest, set, 0), noCohort)
			return
		}
	}
}

func (n *Node) diskAsk(kind register.Kind, set quorum.Set, at uint32) register.Message {
	return register.Message{Kind: kind, Ask: n.mend.ask, From: n.member.Self().Addr, Set: quorum.Set{Serial: set.Serial}, Range: at}
}

func (n *Node) receiveMend(m register.Message) {
	if n.acceptor == nil || m.Ask != n.mend.ask || m.Disk != n.mend.from || !m.Yes {
		return
	}
	set := n.holder.Set()
	if m.Kind == register.KindDigests {
		for i, mine := range n.acceptor.Digests() {
			if i < len(m.Digests) && m.Digests[i] != mine {
				n.mend.waiting[uint32(i)] = true
				n.link.Frame(m.From, n.diskAsk(register.KindRange, set, uint32(i)), noCohort)
			}
		}
		return
	}
	if !n.mend.waiting[m.Range] {
		return
	}
	delete(n.mend.waiting, m.Range)
	mended := 0
	for _, kc := range m.Cells {
		if n.acceptor.Mend(kc) {
			mended++
		}
	}
	if mended > 0 {
		n.log.Say(event.DiskMended, event.Fields{"cells": mended, "from": m.Disk})
	}
}
