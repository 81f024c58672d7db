package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	randv2 "math/rand/v2"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/bus"
	"linedrum.example/linedrum/control"
	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/serve"
	"linedrum.example/linedrum/settings"
	"linedrum.example/linedrum/warmth"
)

// The model of a fleet at cold engines: nodes with their real tables of engines, a
// register that comes in force on each at another moment, and a platform's list that
// lags. A site is taken back whose engines became cold a moment ago, all nodes press on
// them, and some start again or join meanwhile.

const (
	modelTick  = 20 * time.Millisecond
	modelLag   = 800 * time.Millisecond
	modelEvery = 500 * time.Millisecond // between two looks at the list
	herdAgain  = 300 * time.Millisecond
	modelWarm  = 3 * time.Second
	modelRate  = 12
	// modelMost requests a second are allowed at one cold engine.
	modelMost = 1.5*modelRate + 5
	// modelBack is when the site is taken back, and modelEnd when the course ends.
	modelBack = time.Minute
	modelEnd  = modelBack + 4500*time.Millisecond
)

// planted is a fault of the model's nodes that the check must find.
type planted string

const (
	plantedNone    planted = ""
	plantedTrust   planted = "what no list tells yet is taken for warm"
	plantedEarly   planted = "a look too early for the lag settles it"
	plantedOver    planted = "an older look is written over a newer one"
	plantedRestart planted = "a node that starts again takes a fresh share"
	plantedSend    planted = "goes are counted when nominated, not when sent"
)

// modelNode is one machine's process.
type modelNode struct {
	engines  *engines
	settling warmth.Settling
	picture  serve.Picture
	partial  time.Duration // until then its table is not whole
	down     time.Duration // until then there is no process
	next     time.Duration // when it next sees the register
	every    time.Duration // how often it does
	decodes  []modelGo     // waiting for their reads
}

// modelGo is a go whose prompt is being read.
type modelGo struct {
	writer string
	at     time.Duration
}

// modelLook is a look at the list under way.
type modelLook struct {
	seen  []engine.Listed
	base  register.Entry
	view  sitesView
	memo  *listing
	until time.Duration
}

// model is one course. It implements control.Registers over its own cells.
type model struct {
	r        *rand.Rand
	fault    planted
	now      time.Duration
	cells    map[string]register.Entry
	nodes    []*modelNode
	holder   int
	memo     *listing
	looked   time.Duration
	looks    []modelLook
	chilled  time.Duration
	herd     time.Duration // when all processes are killed, twice, to be back in a moment
	stall    time.Duration // when the reads that are under way then end, all at once
	arrivals map[string][]time.Duration
}

// modelClock is the model's own time.
type modelClock struct{ m *model }

func (c modelClock) Now() time.Duration { return c.m.now }

func (m *model) OpID() string                   { return "op" }
func (m *model) Seen(key string) register.Entry { return m.cells[key] }
func (m *model) Awake() bool                    { return true }
func (m *model) Hurry()                         {}
func (m *model) Do(_ context.Context, req register.Request) register.Result {
	cell := m.cells[req.Key]
	if req.Read {
		return register.Result{Outcome: register.Done, Cell: cell}
	}
	if req.Base != cell.Serial {
		return register.Result{Outcome: register.Conflict, Cell: cell}
	}
	cell = register.Entry{Serial: cell.Serial + 1, Value: req.Value}
	m.cells[req.Key] = cell
	return register.Result{Outcome: register.Done, Cell: cell}
}

// list is what the platform tells now: what was true before its lag.
func (m *model) list() []engine.Listed {
	was := m.now - modelLag
	cold := int64(0)
	if was >= m.chilled && was < m.chilled+modelWarm {
		cold = (m.chilled + modelWarm - was).Milliseconds()
	}
	var out []engine.Listed
	for i, role := range []string{engine.Prefill, engine.Decode, engine.Decode} {
		out = append(out, engine.Listed{
			Name: fmt.Sprint("e", i), Addr: fmt.Sprint(i), Pool: "p", Site: "z", State: "live", Role: role, Slots: 64, ColdMS: cold,
		})
	}
	// Another pool's engine changes now and then: the list is written for that too.
	slots := 1 + int(max(was, 0)/(700*time.Millisecond))
	return append(out, engine.Listed{Name: "o", Addr: "9", Pool: "o", Site: "y", State: "live", Role: engine.Decode, Slots: slots})
}

func (m *model) until(most time.Duration) time.Duration {
	return time.Duration(m.r.Int63n(int64(most)))
}

// start makes a process; one of a machine that ran before knows nothing of its life.
func (m *model) start(n *modelNode) {
	n.engines, n.picture, n.settling, n.decodes = newEngines("z", 12*time.Second, true), serve.Picture{}, warmth.Settling{Lag: modelLag}, nil
	if m.fault == plantedEarly {
		n.settling.Lag = 0
	}
	if m.fault == plantedRestart {
		n.engines.started = 1 // long ago
	}
	n.picture.Desk = modelDesk
	n.picture.Roles = map[string]serve.RolesInForce{"p": {Table: engine.RoleTable{Roles: map[string]string{
		"e0": engine.Prefill, "e1": engine.Decode, "e2": engine.Decode,
	}}}}
	n.next, n.every = m.now+m.until(30*time.Millisecond), 50*time.Millisecond+m.until(200*time.Millisecond)
}

var modelDesk, _ = desk.Parse([]byte(`{"pools":[{"name":"p","warm_rate":12,"warm_for":"3s","engine":{"slots":64}}],
	"desks":[{"name":"d","pool":"p","kinds":[{"name":"k","expiry":"3s","queue":4}]}]}`))

// adopt has a node see the register, as a permit's round does.
func (m *model) adopt(n *modelNode) {
	if cell := m.cells[core.KeySites]; cell.Serial != n.picture.SiteSerial {
		var state engine.SiteState
		_ = json.Unmarshal(cell.Value, &state)
		if m.fault == plantedTrust {
			state.Back = nil
		}
		n.picture.Sites, n.picture.SiteSerial = state, cell.Serial
		n.settling.Adopt(cell.Serial, m.now)
		n.engines.take(n.picture, m.now)
	}
	if cell := m.cells[core.KeyEngines]; cell.Serial != n.picture.EngineSerial {
		var list engine.List
		_ = json.Unmarshal(cell.Value, &list)
		n.picture.Engines, n.picture.EngineSerial = list, cell.Serial
		n.engines.take(n.picture, m.now)
	}
}

// look has a node begin a look at the list; it is recorded some time later.
func (m *model) look(n *modelNode, memo *listing) {
	l := modelLook{seen: m.list(), base: m.cells[core.KeyEngines], memo: memo,
		view: sitesView{n.picture.Sites.Back, n.settling.Covered(m.now)}, until: m.now + m.until(60*time.Millisecond)}
	if m.r.Intn(3) == 0 {
		l.until += 300*time.Millisecond + m.until(900*time.Millisecond) // the answer is held up
	}
	m.looks = append(m.looks, l)
}

// record ends the looks that are due.
func (m *model) record() {
	var left []modelLook
	for _, l := range m.looks {
		if m.now < l.until {
			left = append(left, l)
			continue
		}
		if m.fault == plantedOver {
			l.base = m.cells[core.KeyEngines]
		}
		if next, changed := l.memo.next(l.base, l.seen, l.view); changed {
			value, _ := json.Marshal(next)
			if r := m.Do(context.Background(), register.Request{Key: core.KeyEngines, Base: l.base.Serial, Value: value}); r.Outcome != register.Done {
				l.memo.cold = nil
			}
		}
	}
	m.looks = left
}

// readBy is when a read that begins now ends.
func (m *model) readBy() time.Duration {
	if m.now < m.stall && m.stall-m.now < 2*time.Second {
		return m.stall
	}
	return m.now + m.until(900*time.Millisecond)
}

func (m *model) arrive(name string) {
	if m.now >= m.chilled && m.now < m.chilled+modelWarm {
		m.arrivals[name] = append(m.arrivals[name], m.now)
	}
}

func (m *model) turn(n *modelNode, name string) bool {
	return m.fault == plantedSend || n.engines.Turn("p", name, m.now)
}

// press has a node begin a request, and go on with those whose read has ended.
func (m *model) press(n *modelNode, rank int) {
	known, partial := len(m.nodes), m.now < n.partial
	if partial {
		known = 1 + rank/2
	}
	n.engines.place(known, rank%known, partial)
	if pair, _, ok := n.engines.Reserve(serve.Want{Pool: "p"}, m.now); ok {
		if m.turn(n, pair.Reader.Name) {
			m.arrive(pair.Reader.Name)
			n.decodes = append(n.decodes, modelGo{pair.Writer.Name, m.readBy()})
		}
		n.engines.End(pair.Reader.Name)
		n.engines.End(pair.Writer.Name)
	}
	var left []modelGo
	for _, d := range n.decodes {
		if m.now < d.at {
			left = append(left, d)
			continue
		}
		if m.turn(n, d.writer) {
			m.arrive(d.writer)
		}
	}
	n.decodes = left
}

// step is one moment of a course.
func (m *model) step() {
	for rank, n := range m.nodes {
		if m.now < n.down {
			continue
		}
		if n.engines == nil {
			m.start(n)
		}
		if m.now >= n.next {
			n.next = m.now + n.every
			m.adopt(n)
		}
		m.press(n, rank)
		if m.now == m.herd || m.now == m.herd+herdAgain || m.r.Intn(1000) == 0 {
			// It is killed, and back in a moment.
			n.engines, n.down = nil, m.now+30*time.Millisecond+m.until(100*time.Millisecond)
			n.partial = n.down + 3*time.Second
		}
	}
	if m.r.Intn(100) == 0 {
		m.holder, m.memo = m.r.Intn(len(m.nodes)), &listing{}
	}
	if n := m.nodes[m.holder]; n.engines != nil && (m.now-m.looked >= modelEvery || n.settling.Due(m.looked, m.now, n.picture.Sites.Back, n.picture.Engines.Covers)) {
		m.looked = m.now
		m.look(n, m.memo)
	}
	m.record()
}

// play is one course: the most that a cold engine got in a second, and all it got.
func play(seed int64, fault planted) (most, all int) {
	m := &model{r: rand.New(rand.NewSource(seed)), fault: fault, cells: map[string]register.Entry{}, memo: &listing{}, arrivals: map[string][]time.Duration{}}
	m.chilled = modelBack - time.Duration(m.r.Intn(3))*150*time.Millisecond
	m.herd = (modelBack + 1100*time.Millisecond + m.until(1200*time.Millisecond)).Round(modelTick)
	if m.r.Intn(2) == 0 {
		m.herd, m.stall = 0, modelBack+1500*time.Millisecond+m.until(time.Second)
	}
	operator := control.New(m, modelClock{m}, time.Second, time.Minute)
	for range 6 + m.r.Intn(6) {
		m.nodes = append(m.nodes, &modelNode{})
	}
	_, _, _ = operator.EmptySite(context.Background(), "z", true)
	for m.now = modelBack - 300*time.Millisecond; m.now < modelEnd; m.now += modelTick {
		if m.now == modelBack {
			_, _, _ = operator.EmptySite(context.Background(), "z", false)
		}
		m.step()
	}
	for _, list := range m.arrivals {
		all += len(list)
		for i, from := range list {
			n := 0
			for _, at := range list[i:] {
				if at < from+time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most, all
}

// TestColdFleet plays random courses of the model.
func TestColdFleet(t *testing.T) {
	const courses = 60
	Convey("no cold engine gets more than is allowed in any second, and none stands idle", t, func() {
		idle := 0
		for seed := range int64(courses) {
			most, all := play(seed, plantedNone)
			So(fmt.Sprint(seed, " ", float64(most) <= modelMost, " ", most), ShouldEqual, fmt.Sprint(seed, " true ", most))
			if all == 0 {
				idle++
			}
		}
		So(idle, ShouldEqual, 0)
	})
	for _, fault := range []planted{plantedTrust, plantedEarly, plantedOver, plantedRestart, plantedSend} {
		Convey("the model finds that "+string(fault), t, func() {
			seed, found := int64(0), false
			for ; seed < courses && !found; seed++ {
				most, _ := play(seed, fault)
				found = float64(most) > modelMost
			}
			t.Logf("%s: %d courses", fault, seed)
			So(found, ShouldBeTrue)
		})
	}
}

// TestColdNews holds what is recorded and believed of how cold engines are.
func TestColdNews(t *testing.T) {
	warm := []engine.Listed{{Name: "e", Addr: "1", Pool: "p", Site: "z", State: "live", Role: engine.Decode, Slots: 64}}
	cold := append([]engine.Listed(nil), warm...)
	cold[0].ColdMS = 2500
	cellOf := func(serial uint64, list engine.List) register.Entry {
		value, _ := json.Marshal(list)
		return register.Entry{Serial: serial, Value: value}
	}
	held := cellOf(7, engine.List{Serial: 7, Engines: warm, Covers: 3})
	Convey("a node that looks for the first time records that an engine is cold; one that saw it cool does not", t, func() {
		l := &listing{}
		_, changed := l.next(held, cold, sitesView{})
		So(changed, ShouldBeTrue)
		cooler := append([]engine.Listed(nil), cold...)
		cooler[0].ColdMS = 2000
		_, changed = l.next(held, cooler, sitesView{})
		So(changed, ShouldBeFalse)
		_, changed = l.next(held, cold, sitesView{})
		So(changed, ShouldBeTrue)
		_, changed = (&listing{}).next(held, warm, sitesView{})
		So(changed, ShouldBeFalse)
	})
	Convey("a look that covers a site taken back is recorded, though nothing else changed; the cover never falls", t, func() {
		back := map[string]uint64{"z": 5}
		next, changed := (&listing{}).next(held, warm, sitesView{back, 5})
		So(changed, ShouldBeTrue)
		So(next.Covers, ShouldEqual, 5)
		So(next.Serial, ShouldEqual, 8)
		_, changed = (&listing{}).next(held, warm, sitesView{back, 4})
		So(changed, ShouldBeFalse)
		next, _ = (&listing{}).next(held, cold, sitesView{back, 2})
		So(next.Covers, ShouldEqual, 3)
	})
	Convey("a list says anew for how long an engine is cold, though it says the same as the last one; another key's change does not", t, func() {
		e := newEngines("s", 12*time.Second, true)
		p := serve.Picture{Desk: modelDesk, Engines: engine.List{Engines: cold}, EngineSerial: 1}
		e.take(p, time.Minute)
		So(e.coldLeft(e.servers["e"], time.Minute), ShouldEqual, 2500*time.Millisecond)
		e.take(p, time.Minute+time.Second)
		So(e.coldLeft(e.servers["e"], time.Minute+time.Second), ShouldEqual, 1500*time.Millisecond)
		p.EngineSerial = 2
		e.take(p, time.Minute+2*time.Second)
		So(e.coldLeft(e.servers["e"], time.Minute+2*time.Second), ShouldEqual, 2500*time.Millisecond)
	})
	Convey("an engine of a site taken back counts as cold until the list covers that, and no longer than one stays cold", t, func() {
		e := newEngines("s", 12*time.Second, true)
		p := serve.Picture{Desk: modelDesk, Engines: engine.List{Engines: warm}, EngineSerial: 1, Sites: engine.SiteState{Back: map[string]uint64{"z": 5}}}
		e.take(p, time.Minute)
		So(e.coldLeft(e.servers["e"], time.Minute+time.Second), ShouldEqual, 2*time.Second)
		So(e.coldLeft(e.servers["e"], time.Minute+modelWarm), ShouldEqual, 0)
		p.Engines.Covers, p.EngineSerial = 5, 2
		e.take(p, time.Minute+time.Second)
		So(e.coldLeft(e.servers["e"], time.Minute+time.Second), ShouldEqual, 0)
	})
	Convey("only who takes an emptied site back puts it in doubt; the same order once more does not", t, func() {
		m := &model{cells: map[string]register.Entry{}}
		operator := control.New(m, modelClock{m}, time.Second, time.Minute)
		state := func(empty bool) (s engine.SiteState) {
			_, _, fault := operator.EmptySite(context.Background(), "z", empty)
			So(fault, ShouldBeNil)
			_ = json.Unmarshal(m.cells[core.KeySites].Value, &s)
			return s
		}
		So(state(false).Back, ShouldBeEmpty)
		So(state(true).Back, ShouldBeEmpty)
		So(state(false).Back, ShouldResemble, map[string]uint64{"z": 3})
		So(state(false).Back, ShouldResemble, map[string]uint64{"z": 3})
		So(state(true).Empty["z"], ShouldBeTrue)
		So(state(false).Back["z"], ShouldBeGreaterThan, 3)
	})
}

// lagging is a list that tells how far it lags behind.
type lagging struct{ lists }

func (*lagging) Lag() time.Duration { return modelLag }

// fixed is a clock that stands.
type fixed time.Duration

func (f fixed) Now() time.Duration { return time.Duration(f) }

// joinedNode is a node that reaches nobody, at a moment that stands; end lets go of it.
func joinedNode(t *testing.T) (n *Node, end func()) {
	s := settings.Default()
	s.Fleet, s.Listen, s.HTTP, s.Site, s.Seeds = "f", "10.0.0.1:1", "10.0.0.1:2", "s", []string{"10.0.0.1:1"}
	threads := lifecycle.New(t.Context())
	n = &Node{settings: s, clock: fixed(time.Minute), rand: randv2.New(randv2.NewPCG(1, 2)), bus: bus.New(threads),
		log: event.New(&log.Logger{Handler: discard.New()}), engines: newEngines("s", s.Bounds.Recovery.D(), true), settling: warmth.Settling{Lag: modelLag}}
	n.core = core.New(s, nil, alone{ports{n}})
	return n, func() {
		n.bus.Close()
		threads.Wait()
	}
}

// TestColdJoined holds how a node joins the rule to its register and its list.
func TestColdJoined(t *testing.T) {
	Convey("a list's lag is what it tells, or else half of the bound for engines that leave", t, func() {
		bounds := settings.Default().Bounds
		So(listLag(&lagging{}, bounds), ShouldEqual, modelLag)
		So(listLag(&lists{}, bounds), ShouldEqual, bounds.EngineLeave.D()/2)
	})
	Convey("that an engine is cold is news until it was recorded", t, func() {
		n, end := joinedNode(t)
		defer end()
		had := &listing{}
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		cold := []engine.Listed{{Name: "e", Addr: "1", Pool: "p", Site: "z", State: "live", Role: engine.Decode, Slots: 64, ColdMS: 2500}}
		value, _ := json.Marshal(engine.List{Serial: 1, Engines: cold})
		held := register.Entry{Serial: 1, Value: value}
		_, ok := n.record(ended, held, cold, sitesView{}, had)
		So(ok, ShouldBeFalse)
		_, changed := had.next(held, cold, sitesView{})
		So(changed, ShouldBeTrue)
	})
	Convey("once a site's return is in force its engines are cold here, and a look covers it after the lag", t, func() {
		n, end := joinedNode(t)
		defer end()
		n.picture.Desk = modelDesk
		listed := engine.List{Serial: 1, Engines: []engine.Listed{{Name: "e", Addr: "1", Pool: "p", Site: "z", State: "live", Role: engine.Decode, Slots: 64}}}
		put := func(key string, serial uint64, value any) {
			b, _ := json.Marshal(value)
			n.adopt(key, register.Entry{Serial: serial, Value: b})
		}
		cold := func() bool { return n.engines.coldLeft(n.engines.servers["e"], n.clock.Now()) > 0 }
		put(core.KeyEngines, 1, listed)
		put(core.KeySites, 1, engine.SiteState{Empty: map[string]bool{"z": true}})
		So(cold(), ShouldBeFalse)
		put(core.KeySites, 2, engine.SiteState{Back: map[string]uint64{"z": 2}})
		So(cold(), ShouldBeTrue)
		So(n.settling.Covered(n.clock.Now()), ShouldBeLessThan, 2)
		So(n.settling.Covered(n.clock.Now()+modelLag), ShouldEqual, 2)
		listed.Covers = 2
		put(core.KeyEngines, 2, listed)
		So(cold(), ShouldBeFalse)
	})
}
