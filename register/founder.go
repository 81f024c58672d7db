package register

import (
	"slices"
	"sort"
	"time"

	"linedrum.example/linedrum/quorum"
)

// FounderPorts is what founding reports to its node.
type FounderPorts interface {
	NewSet(quorum.VoterSet)
	Founded(quorum.VoterSet)
	Stuck(reason string)
}

// Founder finds the disk set, and forms the first one (design.md section 3.5).
// Every founder must reply; those with a disk that may found form the set, and each
// of these pledges itself to one first set only, for good: so no two first sets can
// both be formed, and an empty disk never founds beside state that exists. It is not
// safe for concurrent use.
type Founder struct {
	self     string
	founders []string  // whom the first set is made of; none: this node never proposes one
	seeds    []string  // asked for the set too
	acceptor *Acceptor // nil on a node without a disk
	clock    Clock
	net      Net
	ports    FounderPorts
	every    time.Duration
	due      time.Duration
	ask      uint64
	seen     map[string]Message // founder's address: what it said this round
	wanted   quorum.VoterSet
	pledged  map[string]bool
	said     bool
	extra    func() []string // other nodes that may know the set
}

// NewFounder makes one; extra lists further nodes with disks, from the table.
func NewFounder(self string, founders, seeds []string, acceptor *Acceptor, clock Clock, net Net, ports FounderPorts, every time.Duration, firstAsk uint64, extra func() []string) *Founder {
	return &Founder{
		self: self, founders: sortedCopy(founders), seeds: seeds, acceptor: acceptor, clock: clock, net: net, ports: ports,
		every: every, ask: firstAsk, extra: extra,
	}
}

func sortedCopy(addrs []string) []string {
	out := slices.Clone(addrs)
	sort.Strings(out)
	return out
}

// Attach takes a disk that could be opened only now, with the founders that it was
// born with.
func (f *Founder) Attach(acceptor *Acceptor, founders []string) {
	f.acceptor, f.founders = acceptor, sortedCopy(founders)
}

// Tick asks around while the set is unknown, and now and then afterwards.
func (f *Founder) Tick(known quorum.VoterSet) {
	now := f.clock.Now()
	if now < f.due {
		return
	}
	f.due = now + f.every
	if known.Formed() {
		f.due = now + 8*f.every
	}
	f.ask++
	f.seen, f.pledged, f.wanted = map[string]Message{}, map[string]bool{}, quorum.VoterSet{}
	asked := map[string]bool{}
	for _, addr := range slices.Concat(f.founders, f.seeds, f.extra()) {
		if !asked[addr] {
			asked[addr] = true
			f.net.Send(addr, Message{Kind: KindWho, Ask: f.ask, From: f.self})
		}
	}
}

// Receive takes what a disk said; false when the ask is not this founder's.
func (f *Founder) Receive(in Message) bool {
	if in.Ask != f.ask {
		return false
	}
	if in.Set.Formed() {
		f.ports.NewSet(in.Set)
		f.wanted = quorum.VoterSet{}
		f.seen = map[string]Message{}
		return true
	}
	switch {
	case in.Kind == KindIAm && f.wanted.Serial == 0:
		f.seen[in.From] = in
		f.propose()
	case in.Kind == KindReply && f.wanted.Serial != 0:
		f.collect(in)
	}
	return true
}

func (f *Founder) propose() {
	if f.acceptor == nil || f.acceptor.late || f.acceptor.Set().Formed() || len(f.founders) == 0 {
		return
	}
	var disks []quorum.Disk
	for _, addr := range f.founders {
		said, ok := f.seen[addr]
		switch {
		case !ok:
			return
		case said.Reason == ReasonBare, said.Reason == ReasonLate:
			continue // who may not found now never may: no later list holds anybody that an earlier one lacks
		case said.Disk == "":
			return
		}
		disks = append(disks, quorum.Disk{Identity: said.Disk, Addr: addr})
	}
	if len(disks) == 0 {
		f.stuck("none of the founders has a disk that may found")
		return
	}
	f.wanted = quorum.VoterSet{Serial: 1, Disks: quorum.Sorted(disks)}
	for _, d := range disks {
		if p := f.seen[d.Addr].Pledge; p.Formed() && !p.Equal(f.wanted) {
			f.stuck("a founder is pledged to other disks: its data folder, or another founder's, was replaced before the first set was formed")
			f.wanted = quorum.VoterSet{}
			return
		}
	}
	for _, d := range disks {
		f.net.Send(d.Addr, Message{Kind: KindPledge, Ask: f.ask, From: f.self, Pledge: f.wanted})
	}
}

func (f *Founder) stuck(reason string) {
	if !f.said {
		f.said = true
		f.ports.Stuck(reason)
	}
}

func (f *Founder) collect(in Message) {
	if !in.Yes || !in.Pledge.Equal(f.wanted) {
		return
	}
	f.pledged[in.Disk] = true
	for _, d := range f.wanted.Disks {
		if !f.pledged[d.Identity] {
			return
		}
	}
	founded := f.wanted
	f.wanted = quorum.VoterSet{}
	f.ports.Founded(founded)
	for _, d := range founded.Disks {
		f.net.Send(d.Addr, Message{Kind: KindSet, From: f.self, Set: founded})
	}
}

// Reseed takes a new list of nodes to be asked for the set. Who founds stays.
func (f *Founder) Reseed(seeds []string) { f.seeds = append([]string(nil), seeds...) }
