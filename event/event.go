// Package event is the process's log: every line is a numbered event, and
// docs/log-events.md is the catalogue (design.md section 7.4).
package event

import (
	"fmt"

	"github.com/apex/log"
)

// Number names an event for good; numbers are never used again.
type Number int

// The catalogue. 1xx membership, 2xx control state, 3xx desks and engines,
// 4xx requests, 5xx the process itself.
const (
	CohortJoined   Number = 101
	CohortGone     Number = 102
	RingJoined     Number = 103
	RingLeft       Number = 104
	DatagramBad    Number = 105
	FrameBad       Number = 106
	DiskOpened     Number = 201
	DiskTorn       Number = 202
	DiskDamaged    Number = 203
	DiskFailed     Number = 204
	DiskFounded    Number = 205
	DiskSetTaken   Number = 206
	FoundingStuck  Number = 207
	DiskMended     Number = 208
	DutyTaken      Number = 211
	DutyGiven      Number = 212
	DiskPruned     Number = 213
	DiskSetDecided Number = 214
	DiskRecovered  Number = 215
	DiskUnopened   Number = 216
	DiskReborn     Number = 217
	DeskInForce    Number = 301
	EnginesTaken   Number = 302
	SitesTaken     Number = 303
	RolesTaken     Number = 304
	RoleOrdered    Number = 305
	RoleBounced    Number = 306
	LeaseLost      Number = 307
	LeaseHeld      Number = 308
	DeskBounced    Number = 309
	EngineSilent   Number = 311
	EngineBack     Number = 312
	ListSilent     Number = 314
	WindowsTaken   Number = 313
	RequestDone    Number = 401
	RequestFailed  Number = 402
	StreamCut      Number = 403
	GoRepeated     Number = 404
	Started        Number = 501
	Stopping       Number = 502
	Stopped        Number = 503
	Reloaded       Number = 504
	ReloadBounced  Number = 505
	StartBounced   Number = 506
	RequestLate    Number = 507
	RequestsCut    Number = 508
	PeersCrowded   Number = 509
	Ended          Number = 510
	Awaited        Number = 511
	Acquired       Number = 512
	LogLost        Number = 513
	LibrarySays    Number = 514
)

// Catalogue says what each number means, in the words of docs/log-events.md.
var Catalogue = map[Number]string{
	CohortJoined:   "a cohort member is in the table",
	CohortGone:     "a cohort member left the table",
	RingJoined:     "this node has its place on the ring",
	RingLeft:       "this node left the ring",
	DatagramBad:    "damaged or foreign datagrams were dropped",
	FrameBad:       "a cohort connection was closed on a damaged or foreign frame",
	DiskOpened:     "the data folder was opened and replayed",
	DiskTorn:       "a torn tail was cut off the log",
	DiskDamaged:    "the log is damaged before its end; this disk does not vote",
	DiskFailed:     "a write or sync failed; this disk does not vote until its state is written anew",
	DiskFounded:    "the founders' disks formed the first disk set",
	DiskSetTaken:   "a newer disk set was taken over",
	FoundingStuck:  "the founders do not agree on one disk set",
	DiskMended:     "cells were mended from another disk",
	DutyTaken:      "this node took a duty",
	DutyGiven:      "this node gave a duty up",
	DiskPruned:     "once-only keys of windows below the floor were forgotten",
	DiskSetDecided: "a change of the disk set was decided on a majority",
	DiskRecovered:  "this disk's state was written anew; it votes again",
	DiskUnopened:   "the data folder cannot be opened now; the node serves without its disk and tries again",
	DiskReborn:     "the damaged log was given up for an empty disk of another identity",
	DeskInForce:    "a desk file is in force on this node",
	EnginesTaken:   "a list of engines is in force on this node",
	SitesTaken:     "a state of the sites is in force on this node",
	RolesTaken:     "a role table is in force on this node",
	RoleOrdered:    "an engine took a role",
	RoleBounced:    "an engine did not take a role",
	LeaseLost:      "the permit ran out; new work is bounced",
	LeaseHeld:      "the permit is held again",
	DeskBounced:    "a desk file was refused",
	EngineSilent:   "an engine does not report its load",
	EngineBack:     "an engine reports its load again",
	ListSilent:     "the list of engines cannot be asked for",
	WindowsTaken:   "the windows of once-only keys that are in force on this node",
	RequestDone:    "a request was replied to",
	RequestFailed:  "a request failed, with its verdict",
	StreamCut:      "a stream broke after its first byte",
	GoRepeated:     "a go is repeated, out of the retry budget",
	Started:        "the node serves",
	Stopping:       "the node stops: it leaves the ring and finishes what it has read",
	Stopped:        "the node stopped",
	Reloaded:       "the settings were read again",
	ReloadBounced:  "the new settings are at fault; the old ones stay",
	StartBounced:   "the node did not start",
	RequestLate:    "a request came after the stopping node had ceased to accept connections",
	RequestsCut:    "requests were still under way when the time of the planned stop was over",
	PeersCrowded:   "peers were refused, or gave way to others, since they would hold more than there is",
	Ended:          "the process ends",
	Awaited:        "something that the process needs of its machine is not to be had; it tries again",
	Acquired:       "what the process waited for is there",
	LogLost:        "lines of the log were lost, since nobody took them in time",
	LibrarySays:    "a library that the process uses reports something",
}

// Log writes numbered events.
type Log struct {
	entry log.Interface
	lost  func() uint64 // nil: none are lost
}

// New wraps an apex logger.
func New(entry log.Interface) *Log { return &Log{entry: entry} }

// CountLost has Lost tell how many lines were lost.
func (l *Log) CountLost(lost func() uint64) { l.lost = lost }

// Lost is how many lines of the log were lost, since nobody took them in time.
func (l *Log) Lost() uint64 {
	if l.lost == nil {
		return 0
	}
	return l.lost()
}

// Fields are the figures and names of one event.
type Fields = log.Fields

// Say writes one event.
func (l *Log) Say(n Number, fields Fields) {
	if fields == nil {
		fields = Fields{}
	}
	fields["event"] = int(n)
	entry := l.entry.WithFields(fields)
	switch n {
	case DiskDamaged, DiskFailed, FoundingStuck, StartBounced:
		entry.Error(Catalogue[n])
	case DiskTorn, DiskUnopened, DiskReborn, LeaseLost, ReloadBounced, DatagramBad, FrameBad, StreamCut, EngineSilent, ListSilent, RequestsCut, PeersCrowded, Awaited, LogLost, LibrarySays:
		entry.Warn(Catalogue[n])
	case RequestDone:
		entry.Debug(Catalogue[n])
	default:
		entry.Info(Catalogue[n])
	}
}

// Line is one row of docs/log-events.md.
func Line(n Number, words string) string { return fmt.Sprintf("| %d | %s |", int(n), words) }
