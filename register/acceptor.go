package register

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"sort"
	"time"

	"github.com/juju/errors"

	"linedrum.example/linedrum/quorum"
)

// Log is the disk below an acceptor. Its calls come back through then, in the order
// in which they were made: once everything appended so far is synced, or with the error
// that makes this disk suspect. From an error on everything fails until a recovery.
type Log interface {
	Busy() bool
	Append(record Message, then func(error))
	Barrier(then func(error))
	// Recover writes records that rebuild the whole state to new files; without an
	// error the log takes records again behind them.
	Recover(state []Message, then func(error))
}

// DiskState is how far a disk can be relied on (section 3.4).
type DiskState uint8

// States of a disk.
const (
	DiskTrusted    DiskState = iota
	DiskSuspect              // a write or sync failed: it says no to everything
	DiskRecovering           // its state is being written anew; it says no to everything
	DiskLost                 // its log is damaged or cannot be opened: it has no state to write
)

// String names a state.
func (s DiskState) String() string {
	return [...]string{"trusted", "suspect", "recovering", "lost"}[s&3]
}

// Clock is boot time.
type Clock interface{ Now() time.Duration }

type slot struct {
	promised Epoch
	cell     Entry
}

// Acceptor is one disk's part of every register. It is not safe for concurrent
// use: its owner holds one lock around every call (section 7.2).
type Acceptor struct {
	identity string
	addr     string
	log      Log
	set      quorum.VoterSet
	pledge   quorum.VoterSet
	slots    map[string]*slot
	ranges   [Ranges]map[string]*slot // the same slots, by range
	digests  [Ranges]uint64           // kept up with every cell
	windows  map[uint64][]string      // passing keys held, by window
	floor    uint64                   // windows below it are forgotten (section 3.7)
	forgot   int
	state    DiskState
	late     bool
}

// NewAcceptor makes the state of an empty disk; Replay brings back what it held.
func NewAcceptor(identity, addr string, log Log) *Acceptor {
	return &Acceptor{identity: identity, addr: addr, log: log, slots: map[string]*slot{}, windows: map[uint64][]string{}}
}

// Late says that this disk was born after the fleet's first start: it answers what
// it knows, and may be admitted, but never pledges itself to a first set (section 3.5).
func (a *Acceptor) Late() { a.late = true }

// Identity is the disk's own.
func (a *Acceptor) Identity() string { return a.identity }

// Set is the disk set that this disk knows.
func (a *Acceptor) Set() quorum.VoterSet { return a.set }

// State says how far the disk can be relied on.
func (a *Acceptor) State() DiskState { return a.state }

// Trusted tells whether the disk votes: not from a failed write or sync on, until its
// whole state is durable again.
func (a *Acceptor) Trusted() bool { return a.state == DiskTrusted }

// Suspect notes that the disk could not be written when its log was opened.
func (a *Acceptor) Suspect() { a.state = DiskSuspect }

// Recover has the state in memory written whole to new files, and the disk vote again
// once it is durable. From the failure until then the disk says no to everything, so
// that the state stays as it was. It may hold promises and cells whose senders were
// refused when the write failed: to those the outcome is open, as if a reply had been
// lost, and whatever was said yes to is in it too.
func (a *Acceptor) Recover(then func(error)) {
	if a.state != DiskSuspect {
		return
	}
	a.state = DiskRecovering
	a.log.Recover(a.Snapshot(), func(err error) {
		a.state = DiskTrusted
		if err != nil {
			a.state = DiskSuspect
		}
		then(err)
	})
}

// Replay applies one record from the log, at start.
func (a *Acceptor) Replay(rec Message) {
	switch rec.Kind {
	case KindPrepare:
		a.slot(rec.Key).promised = rec.Epoch
	case KindAccept:
		s := a.slot(rec.Key)
		if s.promised.Less(rec.Epoch) {
			s.promised = rec.Epoch
		}
		a.put(rec.Key, s, rec.Cell)
	case KindSet:
		a.adopt(rec.Set)
	case KindPledge:
		a.pledge = rec.Pledge
	case KindPrune:
		a.raise(rec.Floor)
	}
}

// raise lifts the floor and forgets all keys of the windows below it. A disk
// does so by itself, as soon as it has accepted a cell that says so: even if
// that cell is never chosen, what is below its floor is refused here from then
// on, and nothing is forgotten that could be taken again.
func (a *Acceptor) raise(floor uint64) {
	a.floor = max(a.floor, floor)
	for window, keys := range a.windows {
		if window >= a.floor {
			continue
		}
		for _, key := range keys {
			a.put(key, a.slots[key], Entry{})
			delete(a.slots, key)
			delete(a.ranges[rangeOf(key)], key)
		}
		a.forgot += len(keys)
		delete(a.windows, window)
	}
}

// Forgot says how many keys were forgotten since it was asked last.
func (a *Acceptor) Forgot() int {
	n := a.forgot
	a.forgot = 0
	return n
}

// passed tells a key whose window lies below the floor.
func (a *Acceptor) passed(key string) bool {
	window, passing := WindowOf(key)
	return passing && window < a.floor
}

// Snapshot lists records that rebuild this state, for the log's pictures.
func (a *Acceptor) Snapshot() []Message {
	out := []Message{{Kind: KindPrune, Floor: a.floor}}
	if a.pledge.Formed() {
		out = append(out, Message{Kind: KindPledge, Pledge: a.pledge})
	}
	if a.set.Formed() {
		out = append(out, Message{Kind: KindSet, Set: a.set})
	}
	for _, key := range a.keys() {
		s := a.slots[key]
		if s.cell.Serial > 0 {
			out = append(out, Message{Kind: KindAccept, Key: key, Epoch: s.cell.Epoch, Cell: s.cell})
		}
		if s.cell.Epoch != s.promised {
			out = append(out, Message{Kind: KindPrepare, Key: key, Epoch: s.promised})
		}
	}
	return out
}

func (a *Acceptor) keys() []string { return sortedKeys(a.slots) }

func sortedKeys(slots map[string]*slot) []string {
	out := make([]string, 0, len(slots))
	for key := range slots {
		out = append(out, key)
	}
	sort.Strings(out)
	return out
}

// put replaces a cell and keeps its range's digest up.
func (a *Acceptor) put(key string, s *slot, cell Entry) {
	at := rangeOf(key)
	a.digests[at] ^= digest(key, s.cell) ^ digest(key, cell)
	s.cell = cell
	if key == KeyWindows {
		a.raise(DecodeWindows(cell).Floor)
	}
}

func (a *Acceptor) slot(key string) *slot {
	s := a.slots[key]
	if s == nil {
		s = &slot{}
		a.slots[key] = s
		at := rangeOf(key)
		if a.ranges[at] == nil {
			a.ranges[at] = map[string]*slot{}
		}
		a.ranges[at][key] = s
		if window, passing := WindowOf(key); passing {
			a.windows[window] = append(a.windows[window], key)
		}
	}
	return s
}

// Handle takes one message from a proposer or reader and answers through reply
// once all that the reply rests on is synced.
func (a *Acceptor) Handle(in Message, reply func(Message)) {
	out := Message{Kind: KindReply, Ask: in.Ask, From: a.addr, Disk: a.identity, Key: in.Key}
	no := func(why Reason) {
		out.Reason = why
		out.Set = a.set
		reply(out)
	}
	switch {
	case !a.Trusted():
		no(ReasonDisk)
		return
	case a.log.Busy():
		no(ReasonBusy)
		return
	}
	switch in.Kind {
	case KindWho:
		out.Kind, out.Set, out.Pledge, out.Yes = KindIAm, a.set, a.pledge, true
		if a.late && !a.set.Formed() {
			out.Reason = ReasonLate
		}
		a.barrier(out, reply)
		return
	case KindPledge:
		a.handlePledge(in, out, reply)
		return
	case KindSet:
		a.handleSet(in, out, reply)
		return
	}
	switch {
	case !a.set.Formed() || in.Set.Serial > a.set.Serial:
		no(ReasonSetNew)
		return
	case in.Set.Serial < a.set.Serial:
		no(ReasonSetOld)
		return
	case !a.set.Has(a.identity):
		no(ReasonForeign)
		return
	}
	asked := []string{in.Key}
	var holds []held
	if in.Kind == KindQuery {
		asked = nil
		if in.Again {
			out.Key = ""
			var sound bool
			if holds, sound = in.brief(); !sound {
				return // silence would be read as agreement
			}
			for _, h := range holds {
				asked = append(asked, h.key)
			}
		}
		for _, kc := range in.Entries {
			asked = append(asked, kc.Key)
		}
	}
	if slices.ContainsFunc(asked, a.passed) {
		no(ReasonPassed)
		return
	}
	switch in.Kind {
	case KindPrepare:
		a.prepare(in, out, reply)
	case KindAccept:
		a.accept(in, out, reply)
	case KindQuery:
		out.Kind, out.Yes, out.Again = KindQueried, true, in.Again
		for _, h := range holds {
			found := KeyEntry{Key: h.key}
			if s := a.slots[h.key]; s != nil {
				found.Entry = s.cell
			}
			if h.is(found.Entry) {
				continue
			}
			if len(found.Entry.Value) > briefValue {
				found.Entry.Value, found.Bare = nil, true
			}
			out.Entries = append(out.Entries, found)
		}
		for _, kc := range in.Entries {
			found := KeyEntry{Key: kc.Key}
			if s := a.slots[kc.Key]; s != nil {
				found.Promised, found.Entry = s.promised, s.cell
				if kc.Entry.Serial > 0 && kc.Entry.Same(s.cell) {
					found.Entry.Value, found.Bare = nil, true
				}
			}
			out.Entries = append(out.Entries, found)
		}
		a.barrier(out, reply)
	case KindDigest:
		out.Kind, out.Yes, out.Digests, out.Floor = KindDigests, true, a.Digests(), a.floor
		a.barrier(out, reply)
	case KindRange:
		out.Kind, out.Yes, out.Range = KindCells, true, in.Range
		for _, key := range sortedKeys(a.ranges[in.Range%Ranges]) {
			if cell := a.slots[key].cell; cell.Serial > 0 {
				out.Entries = append(out.Entries, KeyEntry{Key: key, Entry: cell})
			}
		}
		a.barrier(out, reply)
	}
}

func (a *Acceptor) barrier(out Message, reply func(Message)) {
	a.log.Barrier(a.then(out, reply))
}

// then builds the continuation that answers only what is synced (section 3.4).
func (a *Acceptor) then(out Message, reply func(Message)) func(error) {
	return func(err error) {
		if err != nil {
			a.fail()
			out = Message{Kind: KindReply, Ask: out.Ask, From: a.addr, Disk: a.identity, Key: out.Key, Reason: ReasonDisk}
		}
		reply(out)
	}
}

// fail makes a trusted disk suspect.
func (a *Acceptor) fail() {
	if a.state == DiskTrusted {
		a.state = DiskSuspect
	}
}

func (a *Acceptor) prepare(in, out Message, reply func(Message)) {
	var promised Epoch
	if s := a.slots[in.Key]; s != nil {
		promised = s.promised
	}
	if !promised.Less(in.Epoch) {
		out.Reason, out.Epoch = ReasonPromised, promised
		a.barrier(out, reply)
		return
	}
	s := a.slot(in.Key)
	s.promised = in.Epoch
	out.Yes, out.Epoch, out.Cell = true, in.Epoch, s.cell
	if in.Cell.Serial > 0 && in.Cell.Same(s.cell) {
		out.Cell.Value, out.Again = nil, true
	}
	a.log.Append(Message{Kind: KindPrepare, Key: in.Key, Epoch: in.Epoch}, a.then(out, reply))
}

func (a *Acceptor) accept(in, out Message, reply func(Message)) {
	s := a.slots[in.Key]
	if s != nil && in.Epoch.Less(s.promised) {
		out.Reason, out.Epoch = ReasonPromised, s.promised
		a.barrier(out, reply)
		return
	}
	out.Yes, out.Epoch = true, in.Epoch
	if s != nil && !in.Cell.Newer(s.cell) {
		// A late repeat of what is held already, or of an older write of the same epoch.
		a.barrier(out, reply)
		return
	}
	s = a.slot(in.Key)
	s.promised = in.Epoch
	a.put(in.Key, s, in.Cell)
	a.log.Append(Message{Kind: KindAccept, Key: in.Key, Epoch: in.Epoch, Cell: in.Cell}, a.then(out, reply))
}

// handlePledge is the one vote that an empty disk has in founding (section 3.5).
func (a *Acceptor) handlePledge(in, out Message, reply func(Message)) {
	if !a.late && !a.set.Formed() && !a.pledge.Formed() && in.Pledge.Serial == 1 && in.Pledge.Has(a.identity) {
		a.pledge = in.Pledge
		out.Yes, out.Pledge = true, a.pledge
		a.log.Append(Message{Kind: KindPledge, Pledge: a.pledge}, a.then(out, reply))
		return
	}
	out.Yes, out.Pledge, out.Set = a.pledge.Equal(in.Pledge), a.pledge, a.set
	a.barrier(out, reply)
}

// handleSet adopts a newer disk set; an older one never replaces it.
func (a *Acceptor) handleSet(in, out Message, reply func(Message)) {
	if in.Set.Serial > a.set.Serial && in.Set.Has(a.identity) || a.set.Formed() && in.Set.Serial > a.set.Serial {
		a.adopt(in.Set)
		out.Yes, out.Set = true, a.set
		a.log.Append(Message{Kind: KindSet, Set: a.set}, a.then(out, reply))
		return
	}
	out.Yes, out.Set = a.set.Equal(in.Set), a.set
	a.barrier(out, reply)
}

// adopt takes a newer set. Where this disk is not of the disks in use, it is empty
// from then on: it was never one of them, or it was taken out, and what it still holds
// may be what nobody chose, under promises that the others have not copied. Only
// what it copies when it is admitted counts (section 3.8). The floor stays.
func (a *Acceptor) adopt(set quorum.VoterSet) {
	a.set = set
	if set.Old(a.identity) {
		return
	}
	a.slots, a.windows = map[string]*slot{}, map[uint64][]string{}
	a.ranges, a.digests = [Ranges]map[string]*slot{}, [Ranges]uint64{}
}

// Repair takes a newer accepted cell from another disk, as the accept message
// that this disk missed (section 3.6). A disk that is being admitted takes it
// even below its promise: whoever got that promise got one from a majority of
// the old disks too, and so has seen what was chosen there (section 3.8).
func (a *Acceptor) Repair(kc KeyEntry, admitted bool) bool {
	if !a.Trusted() || kc.Entry.Serial == 0 {
		return false
	}
	s := a.slots[kc.Key]
	if a.passed(kc.Key) {
		return false
	}
	if s != nil && (!kc.Entry.Newer(s.cell) || kc.Entry.Epoch.Less(s.promised) && !admitted) {
		return false
	}
	rec := Message{Kind: KindAccept, Key: kc.Key, Epoch: kc.Entry.Epoch, Cell: kc.Entry}
	a.slot(kc.Key)
	a.Replay(rec)
	a.log.Append(rec, a.then(Message{}, func(Message) {}))
	return true
}

// Refuses tells that this disk lacks a newer cell of another disk and cannot take it by
// Repair, since it promised a higher epoch: whoever got that promise wrote nothing under it.
func (a *Acceptor) Refuses(kc KeyEntry) bool {
	s := a.slots[kc.Key]
	return s != nil && a.Trusted() && !a.passed(kc.Key) && kc.Entry.Newer(s.cell) && kc.Entry.Epoch.Less(s.promised)
}

// ErrSuspect is given to what a disk cannot make durable now.
const ErrSuspect = errors.ConstError("the disk is not trusted")

// Raise lifts the floor to that of the disks that a new disk copied from; then
// runs once that and all that was mended before it is synced.
func (a *Acceptor) Raise(floor uint64, then func(error)) {
	if !a.Trusted() {
		then(ErrSuspect)
		return
	}
	a.raise(floor)
	a.log.Append(Message{Kind: KindPrune, Floor: a.floor}, func(err error) {
		if err != nil {
			a.fail()
		}
		then(err)
	})
}

// Ranges is how many ranges the digests cut the keys into.
const Ranges = 1024

func rangeOf(key string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return h.Sum32() % Ranges
}

// Digests sums up the cells of each range; equal ranges have equal digests.
func (a *Acceptor) Digests() []uint64 { return append([]uint64(nil), a.digests[:]...) }

// digest of one cell with its key; nothing at all has none.
func digest(key string, cell Entry) uint64 {
	if cell.Serial == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, part := range []string{key, cell.Epoch.Holder, cell.Op} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	var num [16]byte
	binary.LittleEndian.PutUint64(num[:8], cell.Epoch.Count)
	binary.LittleEndian.PutUint64(num[8:], cell.Serial)
	_, _ = h.Write(num[:])
	return h.Sum64()
}
