// Package node puts the cores together into one process: it holds the one lock
// around them, drives their ticks, and joins them to network, disk and HTTP
// (design.md section 7).
package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"linedrum.example/linedrum/acquire"
	"linedrum.example/linedrum/admission"
	"linedrum.example/linedrum/budget"
	"linedrum.example/linedrum/bus"
	"linedrum.example/linedrum/calot"
	"linedrum.example/linedrum/control"
	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/drain"
	"linedrum.example/linedrum/engineclient"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/explain"
	"linedrum.example/linedrum/httpapi"
	"linedrum.example/linedrum/ledger"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/link"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/serve"
	"linedrum.example/linedrum/settings"
	"linedrum.example/linedrum/wal"
	"linedrum.example/linedrum/warmth"
	"linedrum.example/linedrum/wire"
)

// Node is one process of the fleet.
type Node struct {
	settings settings.Settings
	log      *event.Log
	host     Host
	clock    Clock
	crew     *lifecycle.Crew
	bus      *bus.Bus
	link     *link.Link
	cleanup  lifecycle.Cleanup

	// mu is the core lock: the core is called under it, and it is held for short
	// steps only. Order: gate, mu, engines, innermost locks (section 7.2).
	mu        sync.Mutex
	rand      *rand.Rand
	core      *core.Core
	awake     awake
	disk      *wal.Log
	folder    Folder
	opened    *openedDisk // nil until the data folder is open
	picture   serve.Picture
	settling  warmth.Settling // of the sites' state, under mu
	tableNews tableNews
	desks     desks
	posts     map[string]*post // of the duties' own goroutine
	window    struct {         // of the duties' own goroutine: the newest window seen, and since when
		serial uint64
		since  time.Duration
	}

	engines  *engines
	gate     *admission.Gate
	speech   serve.Speech
	lister   serve.Lister // nil: the list is handed to the nodes
	path     *serve.Server
	relay    relay // of what others read
	faces    []Face
	killed   bool // once a planned stop has taken Bounds.Drain
	stopping atomic.Bool
	counters counters
	budget   *ledger.Budget // of repeats, under mu
	peers    *budget.Budget // of what peers may hold
	book     *explain.Book
	asks     map[uint64]*asking // explanations asked of the cohort, under mu

	*control.Control
}

// Face is one interface that the node is reached by.
type Face interface {
	// Serve begins to listen.
	Serve() error
	// Drain is the planned stop (section 6): it takes nothing new, and returns when
	// what was read whole has its reply.
	Drain(schedule drain.Schedule)
	// Close ends all connections at once.
	Close()
}

// Outside is what a node speaks with besides other nodes. The zero value is the
// project's own interface and engine speech.
type Outside struct {
	// Speech is how engines are spoken to; the node closes one that has a Close.
	Speech serve.Speech
	// Faces makes the faces, each for the node that it is handed, which does not serve
	// yet; none is the project's own alone (Own).
	Faces []func(*Node) (Face, error)
	// Lister asks for the list of engines; nil where the list is handed to the nodes.
	Lister serve.Lister
	// KilledAfterDrain says that the process is killed once a planned stop has taken
	// Bounds.Drain, so that requests in hand must end before.
	KilledAfterDrain bool
	// Peers is what peers may hold (Peers); nil: all that there is goes to those of the
	// project's own interface, nodes and engines.
	Peers *budget.Budget
}

// graceOfSlow is how many times a peer that moves nothing is spared for, within the time after
// which it is cut.
const graceOfSlow = 10

// Peers is the budget of what a process's peers may hold, by its settings; alone says that the
// project's own interface is its only face.
func Peers(s settings.Settings, clock Clock, alone bool) *budget.Budget {
	return budget.Make(PeerLimits(s, alone), s.Limits.Slow.D()/graceOfSlow, clock.Now)
}

// PeerLimits are what the budget of a process is made from.
func PeerLimits(s settings.Settings, alone bool) budget.Limits {
	return budget.Limits{Memory: s.Limits.Memory, Files: s.Limits.Files, Alone: alone}
}

// Own makes the project's own face, on the settings' http address.
func Own(n *Node) (Face, error) { return httpapi.New(n, n.path, n.Control), nil }

// ErrStopped says that a node was told to stop before it served; it has left by then.
const ErrStopped = errors.ConstError("stopped before it served")

// Start brings a node up on a host; Stop takes it down. Where ctx ends before the node
// serves, it leaves again without having served, and ErrStopped is returned.
func Start(ctx context.Context, s settings.Settings, log *event.Log, host Host, outside Outside) (_ *Node, err error) {
	n := &Node{
		settings: s, log: log, host: host, clock: host.Clock, rand: host.Rand, posts: map[string]*post{},
		book: explain.NewBook(s.Limits.Records), asks: map[uint64]*asking{}, counters: counters{counts: map[string]uint64{}},
		speech: outside.Speech, lister: outside.Lister, killed: outside.KilledAfterDrain, settling: warmth.Settling{Lag: listLag(outside.Lister, s.Bounds)},
	}
	if n.peers = outside.Peers; n.peers == nil {
		n.peers = Peers(s, n.clock, true)
	}
	n.awake = awake{gap: s.Bounds.InForce.D() / 4, calm: s.Bounds.InForce.D() / 4}
	n.Control = control.New(n, n.clock, s.Bounds.InForce.D(), 2*s.Bounds.Recovery.D())
	defer func() {
		if err != nil {
			n.cleanup.Run()
		}
	}()
	n.crew = lifecycle.New(context.Background())
	n.cleanup.Add(func() {
		n.crew.Stop()
		n.closeFolder()
	})
	n.bus = bus.New(n.crew)
	n.cleanup.Add(n.bus.Close)
	if err = n.openLink(ctx); err != nil {
		n.log.Say(event.Stopping, nil)
		n.cleanup.Run()
		n.log.Say(event.Stopped, nil)
		return nil, ErrStopped
	}
	if s.Data != "" {
		n.awaitDisk(ctx)
	}
	n.makeCore()
	n.budget = ledger.NewBudget(s.Bounds.RetryShare, s.Bounds.RetryExtra, s.Bounds.RetryWindow.D(), s.Size, n.clock.Now())
	if n.speech == nil {
		n.speech = engineclient.New(host.Net, s.Bounds.InForce.D()/4, int64(s.Limits.Body))
	}
	if c, ok := n.speech.(interface{ Close() }); ok {
		n.cleanup.Add(c.Close)
	}
	n.engines = newEngines(s.Site, s.Bounds.Recovery.D(), n.lister != nil)
	n.engines.self = s.Listen
	n.gate = admission.New(n.clock)
	if err = bus.Subscribe(n.bus, bus.TopicRequest, n.counters.ended); err != nil {
		return nil, errors.Trace(err)
	}
	n.path = serve.New(serve.Joined{
		Settings: n.inHand(s), Log: log, Clock: n.clock, Fleet: n, Engines: n.engines, Gate: n.gate, Book: n.book, Speech: n.speech,
	})
	if err = n.makeFaces(outside.Faces); err != nil {
		return nil, errors.Trace(err)
	}
	n.link.Serve(handler{n})
	n.mu.Lock()
	n.core.Start()
	n.mu.Unlock()
	n.crew.Start(n.tickCores)
	n.crew.Start(n.tickDuties)
	n.crew.Start(n.watchLink)
	n.crew.Start(n.watchPeers)
	n.crew.Start(n.pollEngines)
	n.crew.Start(n.tellReads)
	n.crew.Start(n.announceReads)
	n.crew.Start(n.passReadsOn)
	if n.lister != nil {
		n.crew.Start(n.tickList)
	}
	n.awaitPermit(ctx)
	if ctx.Err() != nil {
		n.log.Say(event.Stopping, nil)
		n.end()
		return nil, ErrStopped
	}
	for _, f := range n.faces {
		if err = f.Serve(); err != nil {
			return nil, errors.Trace(err)
		}
		n.cleanup.Add(f.Close)
	}
	n.mu.Lock()
	disk := n.core.Member.Self().Disk
	n.mu.Unlock()
	n.log.Say(event.Started, event.Fields{"listen": s.Listen, "http": s.HTTP, "site": s.Site, "disk": disk})
	return n, nil
}

// openLink waits for the port between nodes; its error says that ctx ended first.
func (n *Node) openLink(ctx context.Context) error {
	s := n.settings
	return n.Port(s.Listen).Until(ctx, func() (err error) {
		n.link, err = link.Open(s.Fleet, n.host.Form, s.Listen, s.Bounds.Recovery.D()/12, n.crew, n.host.Net, n.peers.Pool(budget.Nodes))
		return err
	})
}

// Port is an address of this process's machine that it is to listen at.
func (n *Node) Port(addr string) acquire.Resource {
	recovery := n.settings.Bounds.Recovery.D()
	return acquire.Resource{Name: "port " + addr, Pauses: acquire.Pauses{First: recovery / 240, Longest: recovery / 12}, Log: n.log, Now: n.clock.Now}
}

// inHand are settings with no more requests in hand than there are connections to engines for.
func (n *Node) inHand(s settings.Settings) settings.Settings {
	s.Limits.Waiting = min(s.Limits.Waiting, max(n.peers.Plan.Shares[budget.Engines].Connections, 1))
	return s
}

// Peers implements httpapi.Node.
func (n *Node) Peers() *budget.Budget { return n.peers }

// makeCore makes the core with the disk, where that is open by now.
func (n *Node) makeCore() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.opened == nil {
		n.core = core.New(n.settings, nil, ports{n})
		return
	}
	n.core = core.New(n.settings.BornBy(n.opened.founders), n.opened.acceptor, ports{n})
}

func (n *Node) closeFolder() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.folder != nil {
		n.folder.Close()
	}
}

func (n *Node) makeFaces(makers []func(*Node) (Face, error)) error {
	if len(makers) == 0 {
		makers = append(makers, Own)
	}
	for _, make := range makers {
		f, err := make(n)
		if err != nil {
			return errors.Trace(err)
		}
		n.faces = append(n.faces, f)
	}
	return nil
}

// awaitPermit keeps callers away until this node can serve them, but operators
// not for long: without a majority there is no permit, and they want to know why.
func (n *Node) awaitPermit(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Bounds.InForce.D())
	defer cancel()
	lifecycle.Every(ctx, n.core.TickEvery(), func() {
		if n.Permit() {
			cancel()
		}
	})
}

// Kill ends the node at once, as a crash would but for what the process itself holds.
func (n *Node) Kill() { n.cleanup.Run() }

// Stop takes the node down as planned (section 6): callers are served to the
// last request that was taken, and its disk's vote goes to another disk that
// waits; then the node hands its duties over and leaves the ring.
func (n *Node) Stop() {
	n.log.Say(event.Stopping, nil)
	n.stopping.Store(true)
	bounds := n.settings.Bounds
	schedule := drain.Within(bounds.Drain.D())
	n.path.Stop(n.stopOf(schedule))
	n.mu.Lock()
	n.core.Retire()
	n.mu.Unlock()
	retiring, cancel := context.WithTimeout(context.Background(), min(bounds.CatchUp.D(), bounds.Drain.D()*3/4))
	defer cancel()
	draining := lifecycle.New(context.Background())
	for _, f := range n.faces {
		draining.Start(func(context.Context) { f.Drain(schedule) })
	}
	draining.Wait()
	n.awaitRetired(retiring)
	n.end()
}

// end hands the duties over, leaves the ring and ends everything.
func (n *Node) end() {
	n.mu.Lock()
	n.core.Leave()
	n.mu.Unlock()
	n.awaitLeft()
	n.log.Say(event.RingLeft, nil)
	n.cleanup.Run()
	n.log.Say(event.Stopped, nil)
}

// stopOf is what the requests' path is told of a planned stop that begins now.
func (n *Node) stopOf(schedule drain.Schedule) serve.Stop {
	now := n.clock.Now()
	stop := serve.Stop{Take: now + schedule.Take}
	if n.killed {
		stop.Finish = now + schedule.Finish
	}
	return stop
}

// awaitRetired waits until this node's disk has no vote, or nobody can take it.
func (n *Node) awaitRetired(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lifecycle.Every(ctx, n.settings.Bounds.InForce.D()/100, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.core.Retired() {
			cancel()
		}
	})
}

func (n *Node) awaitLeft() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Bounds.Recovery.D()/12)
	defer cancel()
	lifecycle.Every(ctx, n.settings.Bounds.InForce.D()/100, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.core.Member.Left() {
			cancel()
		}
	})
}

// tickCores drives everything that waits for time under the core lock.
func (n *Node) tickCores(ctx context.Context) {
	lifecycle.Every(ctx, n.core.TickEvery(), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.awake.tick(n.clock.Now())
		n.core.Tick()
		if n.clock.Now() >= n.tableNews.first+n.settings.Bounds.Recovery.D()/60 {
			n.tableNews.say(n.log.Say)
		}
		n.cutLog()
	})
}

// watchLink says now and then how many datagrams were dropped as damaged or foreign.
func (n *Node) watchLink(ctx context.Context) {
	var bad, foreign uint64
	lifecycle.Every(ctx, n.settings.Bounds.Recovery.D(), func() {
		b, f := n.link.Counts.BadDatagrams.Load(), n.link.Counts.ForeignDatagrams.Load()
		if b != bad || f != foreign {
			n.log.Say(event.DatagramBad, event.Fields{"damaged": b - bad, "foreign": f - foreign})
		}
		bad, foreign = b, f
	})
}

// handler takes what the link brings.
type handler struct{ n *Node }

func (h handler) Datagram(m calot.Message) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	h.n.core.Datagram(m)
}

func (h handler) Frame(m register.Message, c wire.Cohort) {
	switch m.Kind {
	case register.KindQueried:
		h.n.desks.prepare(m)
	case register.KindReads:
		h.n.heardReads(m.Cell.Value)
		return
	}
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	switch m.Kind {
	case register.KindExplain:
		h.n.explainTo(m)
	case register.KindExplained:
		h.n.explained(m)
	default:
		h.n.core.Frame(m, c)
	}
}

func (h handler) BadFrame(from string, err error) {
	h.n.log.Say(event.FrameBad, event.Fields{"from": from, "reason": err.Error()})
}

// ports joins the core to this process. All are called under mu.
type ports struct{ n *Node }

func (p ports) Now() time.Duration { return p.n.clock.Now() }

func (p ports) Uint64() uint64 { return p.n.rand.Uint64() }

func (p ports) Datagram(to string, m calot.Message) { p.n.link.Datagram(to, m) }

func (p ports) Frame(to string, m register.Message, c wire.Cohort) { p.n.link.Frame(to, m, c) }

func (p ports) Say(number event.Number, fields event.Fields) { p.n.log.Say(number, fields) }

func (p ports) Adopted(key string, cell register.Entry) { p.n.adopt(key, cell) }

func (p ports) TableChanged(e calot.Entry, departed bool) {
	number := event.CohortJoined
	if departed {
		number = event.CohortGone
	}
	if e.Addr == p.n.settings.Listen {
		number = event.RingJoined
	}
	p.n.tableNews.add(number, e, p.n.clock.Now(), p.n.log.Say)
	if number == event.RingJoined {
		p.n.tableNews.say(p.n.log.Say)
	}
	p.n.bus.Publish(bus.TopicTable, e)
}
