package serve

import (
	"context"
	"sync/atomic"
	"time"

	"linedrum.example/linedrum/admission"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/explain"
	"linedrum.example/linedrum/pairing"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/settings"
)

// Picture is what is in force on this node, all taken at one instant. Its maps are
// never written.
type Picture struct {
	Desk         *desk.File
	DeskSerial   uint64
	DeskDigest   string
	DeskSource   []byte // the form that the desk file came in, where it is not the file itself
	Engines      engine.List
	EngineSerial uint64
	Sites        engine.SiteState
	SiteSerial   uint64
	Windows      register.Windows
	Roles        map[string]RolesInForce
}

// RolesInForce is one pool's table with the fence of its orders.
type RolesInForce struct {
	Table engine.RoleTable
	Fence engine.Fence
}

// Clock is boot time.
type Clock interface{ Now() time.Duration }

// Fleet is what a request's path needs of the node that it runs on.
type Fleet interface {
	// InForce is what is in force now; false without a lease that says so.
	InForce() (InForce, bool)
	// Real counts a request that arrived into the retry budget, May tells whether a
	// repeat is within it, Spend takes one out if there is one.
	Real(at time.Duration)
	May() bool
	Spend() bool
	// Do performs one operation on the control state and waits for its outcome.
	Do(ctx context.Context, req register.Request) register.Result
	// Look reads one key from a majority without writing anything.
	Look(ctx context.Context, key string, patience time.Duration) (register.Entry, bool)
	// OpID names one write.
	OpID() string
	// Background runs what outlives a request.
	Background(run func(ctx context.Context))
	// Ended hears of each request that got its reply.
	Ended(e Ended)
}

// Want is what a request asks of the engines that are to serve it.
type Want struct {
	Pool   string
	Prefix string // names the shared beginning of the prompt where there are no parts
	Ask    *Ask
	Aim    time.Duration // what is left of the time for a first piece; 0: none
	Pause  time.Duration // longest one between pieces that is in time; 0: none
	// DirectOnly: the request can bear no further prefill, so a writer must read it.
	DirectOnly bool
}

// Engines is the table of engines as the node sees them. Reservations are counted
// until End.
type Engines interface {
	Reserve(want Want, now time.Duration) (pairing.Pair, explain.Nomination, bool)
	// ReserveWriter nominates another writer for memory that lies at a reader.
	ReserveWriter(want Want, reader pairing.Server, now time.Duration) (pairing.Server, explain.Nomination, bool)
	End(name string)
	// Kept tells that an engine has a chain of parts in its memory now.
	Kept(pool, name string, parts []Part)
	// ReadTook tells how long the read of a pair took, with its wait.
	ReadTook(pool string, pair pairing.Pair, took time.Duration)
	// Idle tells that half of a pool's places are free, and that nothing waits there.
	Idle(pool string, now time.Duration) bool
	// Usable tells whether a go may still go to an engine, by what is in force now.
	Usable(pool, name, role string) bool
	// Turn tells whether a go may be sent to an engine now, and counts it as sent: a cold
	// one takes a go of this node at a distance only, whenever it was nominated.
	Turn(pool, name string, now time.Duration) bool
	// NoteLink takes what one hand-over cost into account; 1 is as bad as a full engine.
	NoteLink(reader, writer string, cost float64, now time.Duration)
	Well(name string)                                       // it finished a go
	Full(name string)                                       // it says so, until its next report
	Outdated(name string)                                   // its report counts no more
	RestFor(name string, now time.Duration)                 // a go at it failed
	Heard(name string, load engine.Load, now time.Duration) // it said of its load beside a reply
}

// Ended is the event of one request that got its reply.
type Ended struct {
	Request string `json:"request"`
	Desk    string `json:"desk"`
	Kind    string `json:"kind"`
	Status  int    `json:"status"`
	Verdict string `json:"verdict"`
	Code    string `json:"code"`
	Goes    int    `json:"goes"`
	Repeats int    `json:"repeats"`
	Reader  string `json:"reader"`
	Writer  string `json:"writer"`
}

// Server serves requests, whatever face they came by.
type Server struct {
	settings settings.Settings
	log      *event.Log
	clock    Clock
	fleet    Fleet
	engines  Engines
	gate     *admission.Gate
	book     *explain.Book
	speech   Speech
	manner   Manner
	held     atomic.Int64
	stop     atomic.Pointer[Stop] // nil: no planned stop has begun
	givenUp  context.Context      // ends when a planned stop gives up what is in hand
	giveUp   context.CancelFunc
}

// Joined is all that a server is joined to.
type Joined struct {
	Settings settings.Settings
	Log      *event.Log
	Clock    Clock
	Fleet    Fleet
	Engines  Engines
	Gate     *admission.Gate
	Book     *explain.Book
	Speech   Speech
}

// New makes a server.
func New(j Joined) *Server {
	s := &Server{
		settings: j.Settings, log: j.Log, clock: j.Clock, fleet: j.Fleet, engines: j.Engines, gate: j.Gate, book: j.Book, speech: j.Speech,
	}
	s.givenUp, s.giveUp = context.WithCancel(context.Background())
	if m, ok := j.Speech.(Mannered); ok {
		s.manner = m.Manner()
	}
	return s
}

// Hold counts a request in hand, read or not, of all faces together; a refusal says that
// the node holds as many as it may, or that it stops. Without one, Free is called at the
// request's end.
func (s *Server) Hold() *Refusal {
	if !s.takes() {
		return stopping()
	}
	if s.held.Add(1) > int64(s.settings.Limits.Waiting) {
		s.held.Add(-1)
		return ComeBack("node-full", "this node holds as many requests as it may", time.Second)
	}
	return nil
}

// Free is the end of a request that Hold counted.
func (s *Server) Free() { s.held.Add(-1) }

// Held is how many requests are in hand.
func (s *Server) Held() int64 { return s.held.Load() }
