package platform

import (
	"sync"
	"time"
)

// Arrival is one request as an engine received it. Times are of the run's one clock.
type Arrival struct {
	At       time.Time
	Engine   string // its id: one life
	Service  string
	Zone     string
	Machine  string // IP number of who sent it
	Attempt  string
	Method   string
	Host     string
	Target   string // path and query
	Body     string // digest
	Stage    string // asked for: only to read the prompt
	Source   string // the attempt whose handle it goes on from; empty: none
	Resume   int    // after the event of this id
	Run      string // names this run in every piece
	Ran      time.Time
	Ended    time.Time // whole, or the engine broke it off; zero: neither
	Whole    bool
	Broken   bool // by the engine itself
	Failed   bool // the engine answered with a failure
	Cold     bool
	Misled   bool // 421
	Pieces   int  // id of the last event
	Fetched  int  // tokens that were moved for it
	Read     int  // tokens that were read for it
	Shared   int  // of these, in parts that this engine had kept before, or that are shared
	Draining bool
}

// Piece is a stream's event as a client got it.
type Piece struct {
	ID      int
	From    int // the first token in it
	Attempt string
	Run     string
	Of      int
	Late    time.Duration // between its making and its coming
}

// Try is one request as a client sent it.
type Try struct {
	Attempt  string
	Request  string // all tries of one request have this in common
	Class    string
	Probe    bool // sent directly, to show which configuration is in force
	Zone     string
	Node     string // the node's name
	Method   string
	Host     string
	Target   string
	Body     string
	Resume   int
	Left     time.Duration
	Sent     time.Time // its last byte was
	Ended    time.Time
	Status   int // 0: no answer
	NotSent  bool
	Echo     string
	Seal     string
	Whole    bool // the answer came to its end as HTTP has it
	First    time.Duration
	Gap      time.Duration // longest between events
	Pieces   []Piece
	Text     string // of a whole body
	Excess   string // bytes that are no answer, or that nobody asked for
	Encoded  bool
	GaveUp   bool
	Deadline time.Time
}

// Act is one thing that the operator asked for.
type Act struct {
	Kind    string // put, patch, evacuate, restore, read
	Sent    time.Time
	Ended   time.Time
	Status  int   // the clear answer; 0: none
	Tried   []int // the status of each call
	Unheard []int // acknowledgements that were lost on their way to the operator
	Node    string
	Based   int
	Version int
	Invalid string  // why it is; empty: it is proper
	Config  *Config // that it makes
	Zone    string
	Body    []byte // read: what came
	Last    bool   // read: after the day
}

// Given is an order as an engine took it.
type Given struct {
	At      time.Time
	Engine  string
	Machine string
	Holder  string
	Fence   uint64
	Status  int
}

// Shown is a change that the list of engines shows from a moment on.
type Shown struct {
	At     time.Time
	Engine string
	State  string // ready, draining, gone
}

// Upset is trouble, or planned work, at a machine.
type Upset struct {
	From, To time.Time // a zero To: it lasts
	Node     string    // name
	IP       string
	Core     bool
	What     string // kill, start, stop, hangup, freeze, cut, disk, reset; gone: another came in its place; engine_cut: Node is an engine's id
	Planned  bool
}

// Served is one request with all its tries, as its client had it.
type Served struct {
	Request string
	Class   string
	Zone    string
	Began   time.Time
	Took    time.Duration // to its first event, or its whole answer
	Whole   bool
	InTime  bool
	Tries   int
	Late    time.Duration // longest between making and coming
	Status  int           // of the last try
}

// Evidence is all that a run left behind.
type Evidence struct {
	mu       sync.Mutex
	Arrivals []*Arrival
	Tries    []*Try
	Rough    []*Try // what was no proper request
	Acts     []*Act
	Orders   []Given
	Shown    []Shown
	Upsets   []*Upset
	Served   []Served
	Calls    int // to the platform's list
	Refused  int // of these, over the rate
	Strange  int // calls to plain engines that these know nothing of
	Conns    int // opened to engines
	Health   int // health probes and reports
	Moved    int // tokens moved between engines
	Reread   int // shared tokens read again that some engine had read
	Waste    int // tokens read for nothing
	seen     map[string]bool
}

// add records under the lock.
func (e *Evidence) add(record func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	record()
}
