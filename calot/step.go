package calot

import (
	"encoding/binary"
	"sort"
	"strconv"
	"time"

	"linedrum.example/linedrum/ring"
)

// Receive takes one datagram.
func (m *Member) Receive(in Message) {
	if !in.Kind.Valid() || in.From.Addr == m.self.Addr || in.From.Addr == "" {
		return
	}
	fresh := m.touch(in.From)
	switch in.Kind {
	case KindAck:
		if p := m.pendings[in.Seq]; p != nil && p.to == in.From.Addr {
			delete(m.pendings, in.Seq)
		}
	case KindBeat:
		if !m.joined {
			return
		}
		predecessor, successor := m.neighbours()
		m.compare(in)
		reply := Message{Kind: KindBeatReply, Seq: in.Seq, From: m.self, Known: m.digest()}
		if predecessor != nil {
			reply.Subject, reply.Other = predecessor.entry, successor.entry
		}
		m.net.Send(in.From.Addr, reply)
	case KindBeatReply:
		if m.joined {
			m.compare(in)
			m.mendLinks(in)
		}
	case KindNotice:
		m.ack(in)
		if !m.once(in) || !m.joined {
			return
		}
		m.apply(in.Subject, in.Departed, in.Left)
		m.spread(in, in.Key)
	case KindLookup:
		if in.From.Incarnation != 0 {
			m.ack(in)
		}
		if m.joined && !m.leaving && m.once(in) {
			m.path(in)
		}
	case KindFound:
		m.found(in)
	case KindLeave:
		m.ack(in)
		if m.once(in) && m.joined {
			_, successor := m.neighbours()
			announces := successor != nil && successor.entry.Addr == in.From.Addr
			m.apply(in.From, true, true)
			if announces {
				m.announce(in.From, true, true)
			}
		}
	case KindProbe:
		if !m.joined {
			return
		}
		if in.Known >= m.self.Incarnation {
			m.refute(in.Known)
		}
		m.net.Send(in.From.Addr, Message{Kind: KindProbeReply, Seq: in.Seq, From: m.self})
		if fresh {
			m.meet(in.From.Addr)
		}
	case KindProbeReply:
		if fresh {
			m.meet(in.From.Addr)
		}
		if a, ok := m.asked[in.Seq]; ok {
			delete(m.asked, in.Seq)
			m.net.Send(a.by, Message{Kind: KindVouch, Seq: m.nextSeq(), From: m.self, Subject: in.From})
		}
	case KindProbeRequest:
		m.ack(in)
		if m.joined && in.Subject.Addr != m.self.Addr && m.once(in) {
			seq := m.probe(in.Subject.Addr)
			m.asked[seq] = asked{by: in.From.Addr, due: m.clock.Now() + m.timing.Beat}
		}
	case KindVouch:
		if s := m.table[in.Subject.Addr]; m.joined && s != nil && !s.departed && in.Subject.Incarnation >= s.entry.Incarnation {
			m.apply(in.Subject, false, false)
			m.table[in.Subject.Addr].heard = m.clock.Now()
		}
	}
}

// meet handles the first sign of a member that our ring did not hold: its table
// is asked for, so that two rings join (section 2.4).
func (m *Member) meet(addr string) {
	now := m.clock.Now()
	m.announceSoon = true
	if now >= m.mergeDue {
		m.mergeDue = now + m.timing.Probe
		m.bulk.Copy(addr)
	}
}

// touch notes a sign of life. It reports whether the sender was new to the table.
func (m *Member) touch(from Entry) bool {
	if from.Incarnation == 0 || !m.joined {
		return false
	}
	m.heardAny = m.clock.Now()
	if m.deaf {
		m.readmit()
	}
	known := m.table[from.Addr]
	if known != nil && known.departed && from.Incarnation <= known.entry.Incarnation {
		// It does not know that it was declared gone: tell it, so that it can refute.
		if !known.left {
			m.tell(known)
		}
		return false
	}
	if known != nil && (from.Incarnation < known.entry.Incarnation || from.Incarnation == known.entry.Incarnation && from != known.entry) {
		// A datagram of its earlier life; or it is a new one that stood alone and does not
		// know how often it lived: told so, it raises its incarnation and announces itself.
		m.tell(known)
		return false
	}
	fresh := known == nil || known.departed
	m.apply(from, false, false)
	if s := m.table[from.Addr]; s != nil && !s.departed {
		s.heard = m.clock.Now()
		s.shunned = false
	}
	return fresh
}

// readmit takes back whom this member missed while it heard nobody: those that are
// gone indeed are found silent once more, and then announced.
func (m *Member) readmit() {
	m.deaf = false
	now := m.clock.Now()
	var back []*slot
	for _, s := range m.table {
		if s.unsaid {
			back = append(back, s)
		}
	}
	sort.Slice(back, func(i, j int) bool { return back[i].entry.Addr < back[j].entry.Addr })
	for _, s := range back {
		s.departed, s.unsaid, s.heard, s.expires = false, false, now, now+m.timing.Expire
		m.stale = true
		m.watch.TableChanged(s.entry, false)
	}
}

// tell probes a member with the incarnation that is known of it, so that it can raise
// its own. It does so once in a beat: probes and replies that pass each other on the way
// would otherwise raise each other without end.
func (m *Member) tell(known *slot) {
	now := m.clock.Now()
	if now < known.told {
		return
	}
	known.told = now + m.timing.Beat
	m.net.Send(known.entry.Addr, Message{Kind: KindProbe, Seq: m.nextSeq(), From: m.self, Known: known.entry.Incarnation})
}

// apply brings one piece of news into the table and reports a change.
// A higher incarnation wins; at the same one, departed wins (section 2.4).
func (m *Member) apply(subject Entry, departed, left bool) bool {
	if subject.Addr == "" || subject.Incarnation == 0 {
		return false
	}
	if subject.Addr == m.self.Addr {
		if m.joined && (subject.Incarnation > m.self.Incarnation || departed && subject.Incarnation == m.self.Incarnation) {
			m.refute(subject.Incarnation)
		}
		return false
	}
	now := m.clock.Now()
	known := m.table[subject.Addr]
	if known != nil {
		older := subject.Incarnation < known.entry.Incarnation
		same := subject.Incarnation == known.entry.Incarnation
		if older || same && known.departed {
			if same && left {
				known.left = true
			}
			return false
		}
		if same && !departed {
			known.expires = now + m.timing.Expire
			return false
		}
	}
	s := &slot{entry: subject, id: subject.ID(), departed: departed, left: left, expires: now + m.timing.Expire, heard: now}
	if known != nil {
		s.told = known.told
	}
	if departed {
		s.expires = now + m.timing.Keep
	}
	m.table[subject.Addr] = s
	m.stale = true
	if known != nil && known.departed && departed {
		return false
	}
	if known == nil && departed {
		return false
	}
	m.watch.TableChanged(subject, departed)
	return true
}

// announce roots a tree at this member (paper 3.2.1): its range is the whole ring.
func (m *Member) announce(subject Entry, departed, left bool) {
	m.spread(Message{Kind: KindNotice, Subject: subject, Departed: departed, Left: left}, m.id)
}

// spread hands a notice to the fingers inside (self, limit), each with its own part of the range.
func (m *Member) spread(notice Message, limit ring.ID) {
	fingers := m.fingers(limit)
	for i, f := range fingers {
		end := limit
		if i+1 < len(fingers) {
			end = fingers[i+1].id
		}
		m.sendNotice(f, notice, end)
	}
}

func (m *Member) sendNotice(to *slot, notice Message, end ring.ID) {
	out := Message{
		Kind: KindNotice, From: m.self, Subject: notice.Subject,
		Departed: notice.Departed, Left: notice.Left, Key: end, Hops: notice.Hops + 1,
	}
	childAddr, childID := to.entry.Addr, to.id
	m.Notices++
	m.sendAcked(childAddr, out, func() {
		// No acknowledgement: another node of the same range takes the child's place.
		if s := m.table[childAddr]; s != nil {
			s.shunned = true
		}
		next := m.successorOf(childID, false)
		if next != nil && ring.Between(childID, next.id, end) && next.id != m.id {
			m.sendNotice(next, notice, end)
		}
	})
}

// fingers are the distinct successors of self+2^i inside (self, limit), clockwise.
func (m *Member) fingers(limit ring.ID) []*slot {
	var out []*slot
	had := map[string]bool{}
	for i := 0; i < ring.Bits; i++ {
		f := m.successorOf(m.id.PlusPower(i), true)
		if f == nil {
			return nil
		}
		if !had[f.entry.Addr] && ring.Between(m.id, f.id, limit) {
			had[f.entry.Addr] = true
			out = append(out, f)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return ring.Clockwise(m.id, out[i].id).Cmp(ring.Clockwise(m.id, out[j].id)) < 0
	})
	return out
}

// path forwards a lookup greedily to the closest known node, the next on a
// timeout, or replies when this member is the closest.
func (m *Member) path(in Message) {
	in.Hops++
	if in.Hops > 64 {
		return
	}
	best, bestGap := (*slot)(nil), ring.Distance(m.id, in.Key)
	m.resort()
	for _, s := range m.sorted {
		if s.shunned || s.entry.Addr == in.Origin.Addr || s.entry.Addr == in.From.Addr {
			continue
		}
		if gap := ring.Distance(s.id, in.Key); gap.Cmp(bestGap) < 0 {
			best, bestGap = s, gap
		}
	}
	if best != nil {
		out := in
		out.From, out.Seq = m.self, 0
		target := best
		m.sendAcked(target.entry.Addr, out, func() {
			target.shunned = true
			m.path(in)
		})
		return
	}
	reply := Message{Kind: KindFound, Seq: in.Seq, From: m.self, Key: in.Key, Hops: in.Hops}
	reply.Subject, reply.Other = m.around(in.Key, in.Origin.Addr)
	if known := m.table[in.Origin.Addr]; known != nil {
		reply.Known = known.entry.Incarnation
	}
	m.net.Send(in.Origin.Addr, reply)
}

// around names the live members on both sides of a key, leaving one out.
func (m *Member) around(key ring.ID, without string) (predecessor, successor Entry) {
	for _, e := range m.Alive() {
		if e.Addr == without {
			continue
		}
		if predecessor.Addr == "" || ring.Clockwise(e.ID(), key).Cmp(ring.Clockwise(predecessor.ID(), key)) < 0 {
			predecessor = e
		}
		if successor.Addr == "" || ring.Clockwise(key, e.ID()).Cmp(ring.Clockwise(key, successor.ID())) < 0 {
			successor = e
		}
	}
	return predecessor, successor
}

func (m *Member) found(in Message) {
	if m.joined || m.copying != "" || in.Key != m.id {
		return
	}
	if in.Known >= m.self.Incarnation {
		m.self.Incarnation = in.Known + 1
	}
	m.copying = in.Subject.Addr
	m.joinDue = m.clock.Now() + 12*m.timing.Ack
	m.bulk.Copy(m.copying)
}

// mendLinks compares a neighbour's links with ours; whoever stands between is
// probed and enters by its reply.
func (m *Member) mendLinks(in Message) {
	for _, e := range []Entry{in.Subject, in.Other} {
		if e.Addr == "" || e.Addr == m.self.Addr {
			continue
		}
		if known := m.table[e.Addr]; known == nil || known.entry.Incarnation < e.Incarnation {
			m.probe(e.Addr)
		}
	}
}

func (m *Member) probe(addr string) (seq uint64) {
	out := Message{Kind: KindProbe, Seq: m.nextSeq(), From: m.self}
	if known := m.table[addr]; known != nil && known.departed && !known.unsaid {
		out.Known = known.entry.Incarnation
	}
	m.net.Send(addr, out)
	return out.Seq
}

func (m *Member) ack(in Message) {
	m.net.Send(in.From.Addr, Message{Kind: KindAck, Seq: in.Seq, From: m.self})
}

// once is false for a repeated datagram.
func (m *Member) once(in Message) bool {
	key := heardSeq{in.From.Addr, in.Seq}
	_, had := m.seen[key]
	m.seen[key] = m.clock.Now() + 8*time.Duration(m.timing.Tries)*m.timing.Ack
	return !had
}

func (m *Member) sendAcked(to string, out Message, gone func()) {
	out.Seq = m.nextSeq()
	out.From = m.self
	m.pendings[out.Seq] = &pending{to: to, m: out, tries: 1, due: m.clock.Now() + m.timing.Ack, gone: gone}
	m.net.Send(to, out)
}

// Tick does what is due. Calling it more often than Ack/2 gains nothing.
func (m *Member) Tick() {
	now := m.clock.Now()
	m.resend(now)
	for key, until := range m.seen {
		if now >= until {
			delete(m.seen, key)
		}
	}
	for seq, a := range m.asked {
		if now >= a.due {
			delete(m.asked, seq)
		}
	}
	if !m.joined {
		if now >= m.joinDue && !m.leaving {
			m.askSeed()
		}
		return
	}
	m.expire(now)
	if m.leaving {
		return
	}
	m.watchSuccessor(now)
	if now >= m.beatDue {
		m.beatDue = now + m.timing.Beat
		m.beat()
	}
	if now >= m.announceDue || m.announceSoon && now >= m.refuteDue {
		m.refuteDue = now + m.timing.Beat
		m.announceDue = now + m.timing.Announce
		m.announceSoon = false
		m.announce(m.self, false, false)
	}
	if now >= m.probeDue {
		m.probeDue = now + m.timing.Probe
		m.probeNext()
	}
}

func (m *Member) resend(now time.Duration) {
	var due []uint64
	for seq, p := range m.pendings {
		if now >= p.due {
			due = append(due, seq)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	for _, seq := range due {
		p := m.pendings[seq]
		if p.tries < m.timing.Tries {
			p.tries++
			p.due = now + time.Duration(p.tries)*m.timing.Ack
			m.net.Send(p.to, p.m)
			continue
		}
		delete(m.pendings, seq)
		if p.gone != nil {
			p.gone()
		}
	}
}

// expire runs the paper's timers. An expired entry is forgotten, so that its
// next re-announcement brings it back; a departed one is kept for longer.
func (m *Member) expire(now time.Duration) {
	var gone []*slot
	for _, s := range m.table {
		if now >= s.expires && (s.departed || now >= s.heard+m.timing.Silent) {
			gone = append(gone, s)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].entry.Addr < gone[j].entry.Addr })
	for _, s := range gone {
		delete(m.table, s.entry.Addr)
		m.stale = true
		if !s.departed {
			m.watch.TableChanged(s.entry, true)
		}
	}
}

func (m *Member) beat() {
	predecessor, successor := m.neighbours()
	if predecessor == nil {
		return
	}
	digest := m.digest()
	m.net.Send(successor.entry.Addr, Message{Kind: KindBeat, Seq: m.nextSeq(), From: m.self, Known: digest})
	if predecessor != successor {
		m.net.Send(predecessor.entry.Addr, Message{Kind: KindBeat, Seq: m.nextSeq(), From: m.self, Known: digest})
	}
}

// watchSuccessor is the paper's failure detector: the predecessor announces a
// silent node, after two rounds in which nobody reached it for us (section 2.4). After one, the next is watched for half as long, so that several
// adjacent deaths are mended in little more than one silence (section 2.4).
func (m *Member) watchSuccessor(now time.Duration) {
	_, successor := m.neighbours()
	if successor == nil {
		m.successor = ""
		m.watchFor = m.timing.Silent
		return
	}
	if successor.entry.Addr != m.successor {
		m.successor = successor.entry.Addr
		m.watchSince = now
		m.rounds = 0
		m.beatDue = now
		if m.watchFor == 0 {
			m.watchFor = m.timing.Silent
		}
	}
	if successor.heard > m.watchSince {
		m.watchFor = m.timing.Silent
	}
	last := max(successor.heard, m.watchSince)
	round := m.timing.Beat / 2
	if now < last+m.watchFor-2*round {
		m.rounds = 0
		return
	}
	switch {
	case m.rounds == 0:
		m.rounds, m.asking, m.roundDue = 1, now, now+round
		m.ask(successor, 3)
		return
	case now < m.roundDue:
		return
	case m.rounds == 1:
		m.rounds, m.roundDue = 2, now+round
		m.ask(successor, 9)
		return
	}
	m.rounds = 0
	// Whoever is asked acknowledges: without any datagram since, it is us who do not hear.
	deaf := (m.deaf || len(m.sorted) > 1) && m.heardAny < m.asking
	m.watchFor = m.timing.Silent / 2
	gone := successor.entry
	m.apply(gone, true, false)
	if deaf {
		m.deaf = true
		m.table[gone.Addr].unsaid = true
		return
	}
	m.announce(gone, true, false)
}

// ask probes a silent successor and has the predecessor and some others, each time
// other ones, probe it too. What they acknowledge also shows that we hear.
func (m *Member) ask(silent *slot, others int) {
	m.probe(silent.entry.Addr)
	predecessor, _ := m.neighbours()
	had := map[*slot]bool{silent: true}
	request := func(s *slot) {
		if !had[s] && others > 0 {
			had[s] = true
			others--
			m.net.Send(s.entry.Addr, Message{Kind: KindProbeRequest, Seq: m.nextSeq(), From: m.self, Subject: silent.entry})
		}
	}
	request(predecessor)
	n := uint64(len(m.sorted))
	for range 4 * others {
		at := ring.Of(m.self.Addr + "#" + strconv.FormatUint(m.nextSeq(), 10))
		request(m.sorted[binary.BigEndian.Uint64(at[:8])%n])
	}
}

// probeNext asks one seed or departed member whether it lives, in turn, so that
// rings parted by a split find each other again.
func (m *Member) probeNext() {
	var targets []string
	for _, seed := range m.seeds {
		if s := m.table[seed]; s == nil {
			targets = append(targets, seed)
		}
	}
	for addr, s := range m.table {
		if s.departed && !s.left {
			targets = append(targets, addr)
		}
	}
	if len(targets) == 0 {
		return
	}
	sort.Strings(targets)
	m.probeAt++
	m.probe(targets[m.probeAt%len(targets)])
}
