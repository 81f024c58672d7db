package calot

import (
	"encoding/binary"
	"sort"
	"strconv"
	"time"

	"linedrum.example/linedrum/ring"
)

// Clock is boot time: it counts while the machine sleeps and never goes back.
type Clock interface{ Now() time.Duration }

// Net sends one datagram and promises nothing.
type Net interface{ Send(to string, m Message) }

// Bulk asks for a member's whole table; the reply comes back through Copied or CopyFailed.
type Bulk interface{ Copy(from string) }

// Watch hears of each change to the table.
type Watch interface {
	TableChanged(subject Entry, departed bool)
}

type slot struct {
	entry    Entry
	id       ring.ID
	departed bool
	left     bool          // departed of its own will: no need to probe
	expires  time.Duration // alive: the paper's timer; departed: when to forget
	heard    time.Duration // last datagram from it
	told     time.Duration // not before then is it told again what is known of it
	shunned  bool          // did not acknowledge: not used until heard again
	unsaid   bool          // departed for this member alone, which heard nobody
}

// asked is a probe made for another member.
type asked struct {
	by  string
	due time.Duration
}

type pending struct {
	to    string
	m     Message
	tries int
	due   time.Duration
	gone  func() // what to do when nobody acknowledges
}

type heardSeq struct {
	from string
	seq  uint64
}

// Member is one node's view of the ring. It is not safe for concurrent use:
// its owner holds one lock around every call (section 7.2).
type Member struct {
	self   Entry
	id     ring.ID
	seeds  []string
	timing Timing
	clock  Clock
	net    Net
	bulk   Bulk
	watch  Watch

	table  map[string]*slot
	sorted []*slot // alive ones, by identifier; rebuilt on change
	stale  bool

	joined    bool
	leaving   bool
	seedRound int
	alone     int // after so many rounds without a reply it stands alone
	joinDue   time.Duration
	copying   string

	seq      uint64
	pendings map[uint64]*pending
	seen     map[heardSeq]time.Duration

	successor    string
	watchSince   time.Duration
	watchFor     time.Duration
	rounds       int           // of probe requests made about the silent successor
	asking       time.Duration // start of the first one
	roundDue     time.Duration // end of the last one
	deaf         bool          // nobody was heard in the last rounds
	heardAny     time.Duration // last datagram of any member
	asked        map[uint64]asked
	refuteDue    time.Duration // not before then does this member announce itself at once again
	beatDue      time.Duration
	announceDue  time.Duration
	probeDue     time.Duration
	probeAt      int
	mergeDue     time.Duration
	announceSoon bool
	differ       map[string]int // neighbour: beats in a row whose digest was not ours

	// Notices counts notice datagrams sent, the figure of the paper's section 3.3.
	Notices uint64
}

// New makes a member that has not joined yet. The first sequence number should
// be random, so that a restarted process is not mistaken for its earlier life.
func New(self Entry, seeds []string, timing Timing, clock Clock, net Net, bulk Bulk, watch Watch, firstSeq uint64) *Member {
	self.Incarnation = 0
	m := &Member{
		self: self, id: self.ID(), timing: timing,
		clock: clock, net: net, bulk: bulk, watch: watch,
		table: map[string]*slot{}, pendings: map[uint64]*pending{}, seen: map[heardSeq]time.Duration{}, differ: map[string]int{}, asked: map[uint64]asked{},
		seq: firstSeq,
	}
	m.Reseed(seeds)
	m.alone = m.roundsFor(seeds)
	return m
}

// Reseed takes a new list of seeds, as a reload of the settings brings it.
func (m *Member) Reseed(seeds []string) {
	m.seeds = m.seeds[:0:0]
	for _, seed := range seeds {
		if seed != m.self.Addr {
			m.seeds = append(m.seeds, seed)
		}
	}
}

// Self is this member's own entry.
func (m *Member) Self() Entry { return m.self }

// SetDisk says that this member serves a disk from now on, or none, and tells the others.
func (m *Member) SetDisk(identity string) {
	if m.self.Disk == identity {
		return
	}
	m.self.Disk = identity
	if m.joined && !m.leaving {
		m.refute(m.self.Incarnation)
	}
}

// Joined tells whether this member has a place on a ring.
func (m *Member) Joined() bool { return m.joined }

// Join starts looking for a ring through the seeds (section 2.3).
func (m *Member) Join() { m.askSeed() }

func (m *Member) askSeed() {
	now := m.clock.Now()
	m.copying = ""
	if len(m.seeds) == 0 || m.seedRound >= m.alone {
		m.becomeMember() // and let probes join the rings
		return
	}
	m.seedRound++
	m.joinDue = now + 4*m.timing.Ack
	for _, seed := range m.seeds {
		m.net.Send(seed, Message{Kind: KindLookup, Seq: m.nextSeq(), From: m.self, Key: m.id, Origin: m.self})
	}
}

// roundsFor says after how many rounds without a reply this member stands alone: the
// first of the seeds soonest, so that a whole fleet that starts at one moment finds
// one ring and not as many as it has members; whoever is no seed last.
func (m *Member) roundsFor(seeds []string) int {
	sorted := append([]string(nil), seeds...)
	sort.Strings(sorted)
	at := 0
	for at < len(sorted) && sorted[at] != m.self.Addr {
		at++
	}
	return 1 + 2*at
}

func (m *Member) becomeMember() {
	if m.self.Incarnation == 0 {
		m.self.Incarnation = 1
	}
	now := m.clock.Now()
	m.joined = true
	m.copying = ""
	m.announceDue = now + m.timing.Announce
	m.beatDue = now
	m.probeDue = now + m.timing.Probe
	m.watch.TableChanged(m.self, false)
	m.announce(m.self, false, false)
}

// Copied takes a bulk copy of another member's table: its alive and departed entries.
func (m *Member) Copied(from string, alive, departed []Entry) {
	if m.joined {
		m.merge(alive, departed)
		return
	}
	if from != m.copying {
		return
	}
	for _, e := range departed {
		m.learnOwn(e)
		if e.Addr != m.self.Addr {
			m.apply(e, true, false)
		}
	}
	for _, e := range alive {
		m.learnOwn(e)
		if e.Addr != m.self.Addr {
			m.apply(e, false, false)
		}
	}
	m.becomeMember()
}

// learnOwn raises this member's incarnation over what the cohort remembers of its
// earlier life; a member without a disk has no other memory of it (section 2.4).
func (m *Member) learnOwn(e Entry) {
	if e.Addr == m.self.Addr && e.Incarnation >= m.self.Incarnation {
		m.self.Incarnation = e.Incarnation + 1
	}
}

// CopyFailed says that a table could not be had.
func (m *Member) CopyFailed(from string) {
	if !m.joined && from == m.copying {
		m.askSeed()
	}
}

// merge joins two rings that meet again: whoever is new to us, or departed to us
// and alive to them, is probed and shows by its reply that it lives.
func (m *Member) merge(alive, departed []Entry) {
	for _, e := range alive {
		if e.Addr == m.self.Addr {
			if e.Incarnation > m.self.Incarnation || e.Incarnation == m.self.Incarnation && e != m.self {
				m.refute(e.Incarnation) // of an earlier life
			}
			continue
		}
		known := m.table[e.Addr]
		if known == nil || known.departed && !known.left || known.entry.Incarnation < e.Incarnation {
			m.probe(e.Addr)
		}
	}
	for _, e := range departed {
		// News like a notice's: whoever is wrongly named refutes it.
		m.apply(e, true, false)
	}
}

// digest sums the live table up, for a neighbour to compare with its own.
func (m *Member) digest() uint64 {
	out := digestOf(m.self)
	m.resort()
	for _, s := range m.sorted {
		out ^= digestOf(s.entry)
	}
	return out
}

func digestOf(e Entry) uint64 {
	h := ring.Of(e.Addr + "#" + strconv.FormatUint(e.Incarnation, 10))
	return binary.BigEndian.Uint64(h[:8])
}

// compare mends what a missed notice left behind, between neighbours only: two
// whose tables differ for a few beats in a row exchange them in bulk (section 2.4).
func (m *Member) compare(in Message) {
	if in.Known == m.digest() {
		delete(m.differ, in.From.Addr)
		return
	}
	m.differ[in.From.Addr]++
	now := m.clock.Now()
	if m.differ[in.From.Addr] >= 3 && now >= m.mergeDue {
		delete(m.differ, in.From.Addr)
		m.mergeDue = now + m.timing.Probe
		m.bulk.Copy(in.From.Addr)
	}
}

func (m *Member) refute(incarnation uint64) {
	if m.leaving || !m.joined {
		return
	}
	m.self.Incarnation = incarnation + 1
	m.announceSoon = true
}

// Leave tells both neighbours, and asks the predecessor to announce it.
// Left turns true once that is acknowledged or given up.
func (m *Member) Leave() {
	if m.leaving || !m.joined {
		m.leaving = true
		return
	}
	m.leaving = true
	predecessor, successor := m.neighbours()
	if predecessor == nil {
		return
	}
	m.sendAcked(predecessor.entry.Addr, Message{Kind: KindLeave, From: m.self}, nil)
	if successor != predecessor {
		m.sendAcked(successor.entry.Addr, Message{Kind: KindLeave, From: m.self}, nil)
	}
}

// Left tells whether a leaver has been heard, or there is nobody to hear it.
func (m *Member) Left() bool {
	if !m.leaving {
		return false
	}
	for _, p := range m.pendings {
		if p.m.Kind == KindLeave {
			return false
		}
	}
	return true
}

// Alive lists the live cohort in ring order, this member included once it has joined.
func (m *Member) Alive() []Entry {
	m.resort()
	out := make([]Entry, 0, len(m.sorted)+1)
	placed := !m.joined || m.leaving
	for _, s := range m.sorted {
		if !placed && m.id.Cmp(s.id) < 0 {
			out = append(out, m.self)
			placed = true
		}
		out = append(out, s.entry)
	}
	if !placed {
		out = append(out, m.self)
	}
	return out
}

// Departed lists the entries kept so that late notices cannot revive them, without
// those that this member alone misses.
func (m *Member) Departed() []Entry {
	var out []Entry
	for _, s := range m.table {
		if s.departed && !s.unsaid {
			out = append(out, s.entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Addr < out[j].Addr })
	return out
}

// Nearest lists the live cohort by absolute distance to a key: its owner first,
// then whom to try next on a timeout (section 2.1).
func (m *Member) Nearest(key ring.ID) []Entry {
	out := m.Alive()
	dist := make(map[string]ring.ID, len(out))
	for _, e := range out {
		dist[e.Addr] = ring.Distance(e.ID(), key)
	}
	sort.SliceStable(out, func(i, j int) bool {
		c := dist[out[i].Addr].Cmp(dist[out[j].Addr])
		return c < 0 || c == 0 && out[i].Addr < out[j].Addr
	})
	return out
}

// Owner is the first of Nearest, without making the list.
func (m *Member) Owner(key ring.ID) string {
	m.resort()
	var nearest string
	var least ring.ID
	look := func(addr string, id ring.ID) {
		gap := ring.Distance(id, key)
		c := gap.Cmp(least)
		if nearest == "" || c < 0 || c == 0 && addr < nearest {
			nearest, least = addr, gap
		}
	}
	if m.joined && !m.leaving {
		look(m.self.Addr, m.id)
	}
	for _, s := range m.sorted {
		look(s.entry.Addr, s.id)
	}
	return nearest
}

// Rank is how many live members are nearer to a key than this one.
func (m *Member) Rank(key ring.ID) (rank int) {
	m.resort()
	mine := ring.Distance(m.id, key)
	for _, s := range m.sorted {
		if c := ring.Distance(s.id, key).Cmp(mine); c < 0 || c == 0 && s.entry.Addr < m.self.Addr {
			rank++
		}
	}
	return rank
}

// Census counts the members that are alive and those that departed, with this one
// among the living, and says how many addresses of both come before this one's.
func (m *Member) Census() (alive, departed, rank int) {
	alive = 1
	for addr, s := range m.table {
		if s.departed {
			departed++
		} else {
			alive++
		}
		if addr < m.self.Addr {
			rank++
		}
	}
	return alive, departed, rank
}

// Known tells what the table says of an address: nothing, alive or departed.
func (m *Member) Known(addr string) (e Entry, alive, departed bool) {
	if addr == m.self.Addr {
		return m.self, m.joined, false
	}
	s := m.table[addr]
	if s == nil {
		return Entry{}, false, false
	}
	return s.entry, !s.departed, s.departed
}

// Lookup finds one address in the table.
func (m *Member) Lookup(addr string) (Entry, bool) {
	if addr == m.self.Addr {
		return m.self, m.joined
	}
	s := m.table[addr]
	if s == nil || s.departed {
		return Entry{}, false
	}
	return s.entry, true
}

func (m *Member) resort() {
	if !m.stale {
		return
	}
	m.sorted = m.sorted[:0:0]
	for _, s := range m.table {
		if !s.departed {
			m.sorted = append(m.sorted, s)
		}
	}
	sort.Slice(m.sorted, func(i, j int) bool { return m.sorted[i].id.Cmp(m.sorted[j].id) < 0 })
	m.stale = false
}

// successorOf is the first usable live member clockwise after a point.
func (m *Member) successorOf(point ring.ID, inclusive bool) *slot {
	m.resort()
	n := len(m.sorted)
	at := sort.Search(n, func(i int) bool {
		c := m.sorted[i].id.Cmp(point)
		return c > 0 || inclusive && c == 0
	})
	for i := 0; i < n; i++ {
		s := m.sorted[(at+i)%n]
		if !s.shunned {
			return s
		}
	}
	return nil
}

// neighbours are this member's links, shunned or not: only silence of a
// successor, or a notice, takes a link away.
func (m *Member) neighbours() (predecessor, successor *slot) {
	m.resort()
	n := len(m.sorted)
	if n == 0 {
		return nil, nil
	}
	at := sort.Search(n, func(i int) bool { return m.sorted[i].id.Cmp(m.id) > 0 })
	return m.sorted[(at+n-1)%n], m.sorted[at%n]
}

func (m *Member) nextSeq() uint64 { m.seq++; return m.seq }
