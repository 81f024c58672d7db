// Package serve is a request's way through a node: look, move, claim, wait for
// engines, go, reply (design.md section 5). It knows neither how callers speak nor
// how engines do: a face reads requests and writes replies (Caller), a speech calls
// engines (Speech). The project's own interface and engine speech are one such pair,
// a platform's are another.
package serve

import (
	"context"
	"net/http"
	"time"

	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/verdict"
)

// Part is one piece of a prompt that other prompts may share: parts are equal where
// their ids are, and an engine that kept a part can use it only if it kept all parts
// before it.
type Part = engine.Part

// Ask is one request as a face read it, whole.
type Ask struct {
	ID       string        // the request's own id, as engines are told it
	Facts    desk.Facts    // what desks match on
	Patience time.Duration // what the caller says that it waits; 0: it does not say
	OnceKey  string        // the caller's once-only key; empty: none
	Digest   string        // of what a keyed request asks
	Stream   bool
	Parts    []Part // the prompt's chain, first part first; nil where the face knows none
	Prefix   string // names the shared beginning where there are no parts
	Tokens   int    // of the prompt; 0: not known
	Out      int    // most tokens to be put out; 0: not known
	After    string // a stream is resumed after the piece of this id; empty: from its start
	Content  any    // the face's own, for the speech that belongs to it
}

// Caller is the one who waits for one request's reply. Exactly one of Fail, End and
// Break is called, as the last call. No method is called by two goroutines.
type Caller interface {
	// Context ends when the caller has gone.
	Context() context.Context
	// Fail gives the final reply of a request that has no reply of an engine, and says
	// what was told: the refusal's Told, asked right before it is written.
	Fail(refusal *Refusal) *verdict.Error
	// Hold tells whether so many bytes more of the reply may be held until it is whole.
	Hold(n int64) bool
	// Begin gives the head of the reply, as the engine gave it.
	Begin(head Head) error
	// Piece passes bytes of the reply on at once.
	Piece(b []byte) error
	// End says that the reply is whole.
	End() error
	// Break ends a reply that cannot be finished so that nobody takes it for whole.
	Break(fault *verdict.Error)
}

// Head is what stands before a reply's bytes.
type Head struct {
	Status int
	Header http.Header // the engine's own
	Length int64       // of the whole reply; negative: not known, or a stream
	Repeat string      // the earlier request whose recorded reply this is; empty: it is its own
}

// Go is one call to an engine.
type Go struct {
	Ask     *Ask
	Server  engine.Listed
	Model   string        // the name that engines know
	Left    time.Duration // of the request's time
	Urgency int           // 0 is first
	Fence   engine.NotAfter
	Decided engine.Decided
	InForce InForce // what the go was decided under; nothing is sent once its lease ran out
	Out     int     // most tokens to be put out: what was asked, or what its kind takes
	After   string  // resume after the piece of this id; empty: from the start
	// Idle is how many unused connections may be kept to the engine; 0: as the speech likes,
	// pairing.NoIdle: none.
	Idle int
	// Connect is how long a new connection may take; 0: as the speech likes.
	Connect time.Duration
	// Again says that this request was sent to this very engine before: what that go's
	// connection still gives bears the same id, so this go needs another connection.
	Again bool
}

// Memory is a prompt's memory that lies at the engine that read it.
type Memory struct {
	Reader engine.Listed
	Handle []byte // the reader's own name for it
	Tokens int
}

// Reply is an engine's reply as it comes.
type Reply struct {
	Head     Head
	Pieces   Pieces        // closed by whoever got the reply
	HandOver time.Duration // how long the memory took to come over; negative: not told
	Load     *engine.Load  // what the engine said of its load beside the reply; nil: nothing
}

// Pieces is a reply's bytes, piece by piece.
type Pieces interface {
	// Next gives the next piece; io.EOF says that the reply is whole, any other error
	// that it broke. The bytes are good until the next call.
	Next() (Piece, error)
	Close() error
}

// Piece is a part of a reply that is passed on as it stands.
type Piece struct {
	Bytes []byte
	ID    string // by which a stream can be resumed after it; empty: none
}

// Speech is how engines are spoken to. Every error of Read and Write is, or wraps,
// a *verdict.Error that says whether the engine may have run the request, with one of
// the codes of package engine; a go whose lease ran out before it was sent is not-run,
// with the code engine.CodeNoLease. No method repeats a call by itself.
type Speech interface {
	// Read has an engine read the prompt and keep its memory for a writer.
	Read(ctx context.Context, g Go) (Memory, error)
	// Write has an engine put the reply out, from memory that lies at a reader; with
	// no memory it reads the prompt itself.
	Write(ctx context.Context, g Go, from *Memory) (Reply, error)
	// Free lets go of memory that nobody will take. It does not wait for the engine.
	Free(m Memory)
	// Load asks an engine for its report.
	Load(ctx context.Context, e engine.Listed) (engine.Load, error)
	// Order gives an engine its role.
	Order(ctx context.Context, e engine.Listed, o engine.Order) error
}

// Manner is what holds of all engines that a speech speaks to. A speech that has none
// of it need not say so.
type Manner struct {
	PureRead  bool // reading a prompt neither runs the request nor begins it
	TakenOnce bool // memory is gone once a writer may have fetched it
	MayDirect bool // writers read prompts by themselves where need be
}

// Mannered is a speech that says what holds of its engines.
type Mannered interface{ Manner() Manner }

// Lister asks the platform which engines there are. Without one, the list is handed
// to the nodes (PUT /linedrum/engines).
type Lister interface {
	List(ctx context.Context) ([]engine.Listed, error)
}
