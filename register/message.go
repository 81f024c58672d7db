// Package register is the control state of design.md section 3: one register a
// key, each with one holder at a time under a rising epoch, held on a majority
// of the disks. There is no common log and no leader for all.
package register

import (
	"time"

	"linedrum.example/linedrum/quorum"
)

// Epoch orders holders of one key; safety rests on it alone.
type Epoch struct {
	Count  uint64
	Holder string
}

// Less orders epochs.
func (e Epoch) Less(o Epoch) bool {
	return e.Count < o.Count || e.Count == o.Count && e.Holder < o.Holder
}

// Entry is what a register holds. Serial 0 means that nothing was ever written.
type Entry struct {
	Epoch  Epoch
	Serial uint64
	Op     string // who wrote it, so that a repeated write is recognized
	Value  []byte
}

// Newer orders two accepted cells.
func (c Entry) Newer(o Entry) bool {
	return o.Epoch.Less(c.Epoch) || c.Epoch == o.Epoch && c.Serial > o.Serial
}

// Same tells whether two cells are the one accepted write.
func (c Entry) Same(o Entry) bool { return c.Epoch == o.Epoch && c.Serial == o.Serial }

// KeyEntry is a cell with its key, and the promise beside it.
type KeyEntry struct {
	Key      string
	Promised Epoch
	Entry    Entry
	Bare     bool // the value was left out, since the asker has it
}

// Kind names a message between nodes about control state.
type Kind uint8

// The messages of section 3.3. The first ones are also the records on disk.
const (
	KindPrepare Kind = iota + 1
	KindAccept
	KindSet   // a disk set to adopt; as a record: the one adopted
	KindPrune // record: the floor, below which windows are forgotten
	KindPledge
	KindReply // what a disk says to any of the above
	KindQuery // read-only look at several keys
	KindQueried
	KindDo // an operation handed to the key's holder
	KindDone
	KindName // the holder names its successor
	KindWho  // who are you: identity, set, pledge
	KindIAm
	KindDigest // range digests of one disk
	KindDigests
	KindRange // the cells of one range
	KindCells
	KindCopy // membership: bulk table copy
	KindTable
	KindExplain // who has the record of this request
	KindExplained
	KindTaken  // an operation has arrived and is being performed
	KindReads  // a notice of what an engine was given to read, in the cell's value
	KindLooked // the list of engines was looked at this long ago, and the register holds what was seen
	KindCarry  // a query for the disks, from a node that does not reach them
	kindEnd
)

// Valid tells whether this is a kind that we know.
func (k Kind) Valid() bool { return k >= KindPrepare && k < kindEnd }

// Reason says why a disk or a holder said no.
type Reason uint8

// Reasons.
const (
	ReasonNone     Reason = iota
	ReasonPromised        // a higher epoch was promised
	ReasonSetOld          // the asker's disk set is older than ours
	ReasonSetNew          // our disk set is older than the asker's
	ReasonForeign         // this disk is not in the set
	ReasonDisk            // this disk is not trusted
	ReasonBusy            // too much is queued
	ReasonPassed          // the key's window is forgotten
	ReasonLate            // this disk is empty and was born after the first start: it never founds
	ReasonBare            // this machine has no disk at all
)

// Message is one message of the control state. Fields that a kind does not need stay zero.
type Message struct {
	Kind     Kind
	Ask      uint64
	From     string
	Disk     string
	Key      string
	Epoch    Epoch
	Cell     Entry
	Yes      bool
	Reason   Reason
	Set      quorum.VoterSet
	Pledge   quorum.VoterSet
	Entries  []KeyEntry
	Base     uint64
	Read     bool
	Again    bool
	Outcome  Outcome
	Patience time.Duration
	Floor    uint64
	Range    uint32
	Digests  []uint64
}

// Outcome says what became of an operation.
type Outcome uint8

// Outcomes. Unknown is never mistaken for either of the others.
const (
	NotDone Outcome = iota
	Done
	Conflict
	Unknown
	Passed // the key's window is forgotten: nobody will ever write it again
)

// String names an outcome.
func (o Outcome) String() string {
	return [...]string{"not-done", "done", "conflict", "unknown", "passed", "", "", ""}[o&7]
}

// Request is one operation on one key: a read, or a write of Value when the
// register's serial is Base.
type Request struct {
	Key   string
	Read  bool
	Base  uint64
	Op    string
	Value []byte
	// Again: a write may have been tried before by another holder; a read is to have the value
	// written anew, though it is chosen.
	Again    bool
	Patience time.Duration
}

// Result is what became of a Request, with the cell as it stands when known.
type Result struct {
	Outcome Outcome
	Cell    Entry
}
