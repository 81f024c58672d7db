// Package hunt draws days of all kinds of trouble by seeds, plays them in virtual
// time, and shrinks those that break a rule to the fewest events (docs/days.md).
package hunt

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"linedrum.example/linedrum/bench/platform"
	"linedrum.example/linedrum/strict"
)

// What a drawn day is bounded by.
const (
	shortestSpan = 28 * time.Second
	longestSpan  = 60 * time.Second
	firstEvent   = time.Second
	settle       = time.Second     // beyond the time that a machine takes to catch up
	grace        = 8 * time.Second // a planned stop may take so long
	mostAlike    = 3               // machines or engines that one event strikes
	near         = time.Second     // between two events that meet
)

// drawer draws one day.
type drawer struct {
	*rand.Rand
	day     platform.Day
	span    time.Duration
	catchUp time.Duration
	zones   []string
	engines int // that may still be lost for good
}

// Draw is the day of a seed: troubles and planned work of all kinds, several of each,
// at any moment. No more machines that count are lost at once than the deployment may
// lose, until they have caught up.
func Draw(seed uint64) platform.Day {
	spec := platform.Desk(seed)
	d := &drawer{
		Rand: rand.New(rand.NewPCG(seed, 11)), zones: spec.Zones, engines: spec.Engines * len(spec.Zones) / 3,
		catchUp: time.Duration(spec.Bounds.CatchUp) * time.Second,
	}
	d.span = d.between(shortestSpan, longestSpan).Truncate(time.Second)
	d.day = platform.Day{
		Name: fmt.Sprintf("hunt-%d", seed), Seed: seed, Span: strict.Duration(d.span), Lead: strict.Duration(10 * time.Second),
		Load: round(0.25 + 0.5*d.Float64()), Closing: "none",
	}
	if d.IntN(8) == 0 {
		// Enough for an engine to be asked more than a cold one bears.
		d.day.Load = round(2 + 1.5*d.Float64())
		d.span = d.between(shortestSpan, shortestSpan+shortestSpan/4).Truncate(time.Second)
		d.day.Span = strict.Duration(d.span)
	}
	if d.IntN(3) == 0 {
		d.day.Nodes, d.day.Engines = 1+d.IntN(4), 2+d.IntN(3)
	}
	if d.IntN(3) == 0 {
		d.day.Closing = pick(d, []string{"kill_all", "power_off_all", "power_timed", "wipe_acked"})
	}
	if d.IntN(2) == 0 {
		d.day.Classes = classes(spec)
	}
	d.core()
	d.several(coreless, d.IntN(4))
	d.several(operator, 1+d.IntN(6))
	d.several(pool, d.IntN(5))
	if rollout := rand.New(rand.NewPCG(seed, rolloutStream)); rollout.IntN(rolloutDays) == 0 {
		d.rollOut(rollout, spec)
	}
	if plain := rand.New(rand.NewPCG(seed, plainStream)); plain.IntN(plainDays) == 0 {
		d.plain(plain, spec)
	}
	slices.SortStableFunc(d.day.Events, func(a, b platform.Event) int { return int(a.At - b.At) })
	return d.day
}

// One day in so many has a rolling stop of the machines without a disk, over most of the day.
// It is drawn by a stream of its own, so that what else a seed draws stays as it was.
const (
	rolloutDays   = 4
	rolloutStream = 12
)

// rollOut adds planned stops one after the other, and streams that outlast them, whose
// clients ask again at once on the connection that they have.
func (d *drawer) rollOut(random *rand.Rand, spec platform.Spec) {
	if len(d.day.Classes) == 0 {
		d.day.Classes = classes(spec)
	}
	long := &d.day.Classes[len(d.day.Classes)-1]
	long.PerS, long.Follow = 2, 0.9
	gap := time.Second + time.Duration(random.IntN(2000))*time.Millisecond
	for at := firstEvent; at < d.span-grace; at += gap {
		d.day.Events = append(d.day.Events, platform.Event{At: strict.Duration(at), Kind: "term", Count: 1})
	}
}

// One day in so many has a service without stages, drawn by a stream of its own as well.
const (
	plainDays   = 3
	plainStream = 13
	plainName   = "relay"
)

// plain adds a service without stages, requests for it, and troubles at its engines: few
// slots and connections, one engine in the whole fleet at times, with and without the load
// in its answers.
func (d *drawer) plain(random *rand.Rand, spec platform.Spec) {
	service := platform.PlainService{
		Name: plainName, Engines: random.IntN(3), Slots: 1 + random.IntN(8), Queue: random.IntN(25), MaxConns: 12 + random.IntN(130),
		Work: 5 + float64(random.IntN(30)), Silent: random.IntN(3) == 0,
	}
	kind := []string{platform.KindChanging, platform.KindReadOnly}[random.IntN(2)]
	d.day.Plain = []platform.PlainService{service}
	if len(d.day.Classes) == 0 {
		d.day.Classes = slices.Clone(spec.Classes)
	}
	d.day.Classes = append(d.day.Classes, platform.Class{
		Name: "alarm", Kind: kind, Service: plainName, PerS: float64(1 + random.IntN(8)), Aim: 120, Deadline: 1000, Retries: 1, Tries: 1 + random.IntN(3),
		Urgency: 2, Bytes: 600, Worth: 1,
	})
	own := &drawer{Rand: random, zones: d.zones, span: d.span, catchUp: d.catchUp, engines: service.Engines}
	own.several(plainTroubles, random.IntN(4))
	for _, e := range own.day.Events {
		e.Service = plainName
		d.day.Events = append(d.day.Events, e)
	}
}

// plainTroubles are what happens to the engines of a service without stages.
var plainTroubles = append(slices.Clone(engineTroubles), kind{"cut_engines", striking(lasting(time.Second, 6*time.Second))})

// classes are the usual ones, beside requests that change something, requests that only
// read, and streams that outlast a planned stop.
func classes(spec platform.Spec) []platform.Class {
	return append(slices.Clone(spec.Classes),
		platform.Class{Name: "book", Kind: platform.KindChanging, PerS: 2, Aim: 400, Deadline: 3000, Retries: 2, Tries: 2, Bytes: 400, Worth: 3},
		platform.Class{Name: "look", Kind: platform.KindReadOnly, PerS: 2, Aim: 400, Deadline: 3000, Retries: 2, Tries: 3, Bytes: 100, Worth: 1},
		platform.Class{Name: "long", Kind: platform.KindStream, PerS: 1, Aim: 500, Deadline: 8000, Retries: 1, Tries: 1, Urgency: 1, Gap: 250, Own: 600, Out: 1000, Bytes: 300, Worth: 2, Follow: 0.5},
	)
}

func round(x float64) float64 { return math.Round(100*x) / 100 }

func pick[T any](d *drawer, list []T) T { return list[d.IntN(len(list))] }

// between draws a while, in whole milliseconds.
func (d *drawer) between(from, to time.Duration) time.Duration {
	return (from + time.Duration(d.Float64()*float64(to-from))).Truncate(time.Millisecond)
}

func (d *drawer) some() int { return 1 + d.IntN(mostAlike) }

// kind is one kind of event: how it is drawn, and how long it takes with its start.
type kind struct {
	name string
	draw func(d *drawer, e *platform.Event) (takes time.Duration)
}

// lasting draws how long an event lasts.
func lasting(from, to time.Duration) func(d *drawer, e *platform.Event) time.Duration {
	return func(d *drawer, e *platform.Event) time.Duration {
		span := d.between(from, to)
		e.For = strict.Duration(span)
		return span
	}
}

// how adds a variant to what is drawn.
func how(variants []string, then func(d *drawer, e *platform.Event) time.Duration) func(d *drawer, e *platform.Event) time.Duration {
	return func(d *drawer, e *platform.Event) time.Duration {
		e.How = pick(d, variants)
		return then(d, e)
	}
}

// striking adds how many machines or engines are struck.
func striking(then func(d *drawer, e *platform.Event) time.Duration) func(d *drawer, e *platform.Event) time.Duration {
	return func(d *drawer, e *platform.Event) time.Duration {
		e.Count = d.some()
		return then(d, e)
	}
}

// share adds how strong it is.
func share(from, to float64, then func(d *drawer, e *platform.Event) time.Duration) func(d *drawer, e *platform.Event) time.Duration {
	return func(d *drawer, e *platform.Event) time.Duration {
		e.X = round(from + (to-from)*d.Float64())
		return then(d, e)
	}
}

// inZone adds a zone.
func inZone(then func(d *drawer, e *platform.Event) time.Duration) func(d *drawer, e *platform.Event) time.Duration {
	return func(d *drawer, e *platform.Event) time.Duration {
		e.Zone = pick(d, d.zones)
		return then(d, e)
	}
}

// repeated draws several of the same, one after the other.
func repeated(most int, gap time.Duration) func(d *drawer, e *platform.Event) time.Duration {
	return func(d *drawer, e *platform.Event) time.Duration {
		e.Count = 1 + d.IntN(most)
		e.Gap = strict.Duration(d.between(gap/3, gap))
		return time.Duration(e.Count) * e.Gap.D()
	}
}

// stops takes a planned stop of each machine.
func stops(then func(d *drawer, e *platform.Event) time.Duration) func(d *drawer, e *platform.Event) time.Duration {
	return func(d *drawer, e *platform.Event) time.Duration {
		takes := then(d, e)
		return takes + time.Duration(max(e.Count, 1))*grace
	}
}

func atOnce(*drawer, *platform.Event) time.Duration { return 0 }

// counted are troubles at machines that count, one of them at a time; or at all of
// them at the same moment, which no rule minds while their disks last.
var counted = []kind{
	{"kill", how([]string{"", "power", "acked", "acked power"}, lasting(500*time.Millisecond, 5*time.Second))},
	{"kill", how([]string{"", "power", "first"}, lasting(8*time.Second, 14*time.Second))},
	{"wipe", how([]string{"", "power", "acked"}, lasting(500*time.Millisecond, 5*time.Second))},
	{"wipe", how([]string{"", "power", "acked"}, lasting(500*time.Millisecond, 5*time.Second))},
	{"replace", how([]string{"", "planned", "first"}, stops(lasting(time.Second, 3*time.Second)))},
	{"cut", how([]string{"", "one_way"}, lasting(time.Second, 7*time.Second))},
	{"freeze", lasting(500*time.Millisecond, 6*time.Second)},
	{"term", stops(atOnce)},
	{"herd", allCounted(how([]string{"", "power"}, lasting(200*time.Millisecond, 2*time.Second)))},
	{"herd", how([]string{"all", "all power"}, lasting(200*time.Millisecond, 2*time.Second))},
	{"kill", inZone(how([]string{"all", "all power"}, lasting(500*time.Millisecond, 4*time.Second)))},
	{"zone_cut", inZone(lasting(time.Second, 6*time.Second))},
	{"disk_slow", share(25, 200, lasting(time.Second, 6*time.Second))},
	{"disk_stall", lasting(500*time.Millisecond, 6*time.Second)},
	{"disk_full", share(0, 900, lasting(500*time.Millisecond, 6*time.Second))},
	{"disk_full", share(0, 900, lasting(500*time.Millisecond, 6*time.Second))},
	{"reset", share(0.2, 1, atOnce)},
}

// allCounted strikes all machines that count.
func allCounted(then func(d *drawer, e *platform.Event) time.Duration) func(d *drawer, e *platform.Event) time.Duration {
	return func(d *drawer, e *platform.Event) time.Duration {
		e.Count = len(d.zones)
		return then(d, e)
	}
}

// coreless are troubles at the other machines: any number, any moment.
var coreless = []kind{
	{"kill", striking(how([]string{"", "power"}, lasting(300*time.Millisecond, 5*time.Second)))},
	{"term", striking(stops(atOnce))},
	{"freeze", lasting(300*time.Millisecond, 6*time.Second)},
	{"cut", striking(how([]string{"", "one_way"}, lasting(time.Second, 7*time.Second)))},
	{"replace", how([]string{"", "planned"}, stops(lasting(time.Second, 3*time.Second)))},
	{"reset", striking(share(0.2, 1, atOnce))},
	{"seeds", atOnce},
}

// changes are those of the operator's that meet troubles.
var changes = []kind{
	{"config", how([]string{"timeout", "idle"}, atOnce)},
	{"storm", repeated(4, time.Second)},
	{"race", repeated(1, time.Second)},
}

// operator is what the operator does, and what happens to it.
var operator = []kind{
	{"config", how([]string{"timeout", "idle"}, atOnce)},
	{"config", how([]string{"timeout", "idle"}, atOnce)},
	{"storm", repeated(8, time.Second)},
	{"race", repeated(3, 1500*time.Millisecond)},
	{"bad", repeated(7, 600*time.Millisecond)},
	{"big", func(d *drawer, e *platform.Event) time.Duration { e.Count = 100 + d.IntN(200); return 0 }},
	{"ack_lost", share(0.3, 1, lasting(2*time.Second, 8*time.Second))},
	{"evacuate", inZone(how([]string{"", "", "warm"}, lasting(3*time.Second, 12*time.Second)))},
	{"read", atOnce},
}

// engineTroubles are what happens to engines of any service.
var engineTroubles = []kind{
	{"release", repeated(4, 1500*time.Millisecond)},
	{"leave", lastEngines(atOnce)},
	{"crash", striking(lasting(2*time.Second, 6*time.Second))},
	{"dark", striking(lasting(2*time.Second, 6*time.Second))},
	{"reuse", lastEngines(how([]string{"", "drain", "dark"}, atOnce))},
	{"grey", striking(share(0.1, 0.8, how(greyWays(), lasting(2*time.Second, 7*time.Second))))},
	{"garble", share(0.02, 0.3, how([]string{"", "extra"}, lasting(2*time.Second, 6*time.Second)))},
	{"lost", share(0.02, 0.3, lasting(2*time.Second, 6*time.Second))},
	{"full", striking(lasting(time.Second, 4*time.Second))},
}

// pool is what happens to model engines and clients.
var pool = append(slices.Clone(engineTroubles), []kind{
	{"kv_slow", share(4, 20, lasting(2*time.Second, 6*time.Second))},
	{"handles_lapse", lasting(2*time.Second, 5*time.Second)},
	{"cold", striking(atOnce)},
	{"cut_engines", striking(lasting(time.Second, 6*time.Second))},
	{"burst", share(1.3, 2.5, lasting(3*time.Second, 8*time.Second))},
	{"rough", repeated(3, time.Second)},
}...)

func greyWays() (out []string) {
	for _, way := range platform.GreyWays {
		out = append(out, string(way))
	}
	return out
}

// lastEngines strikes engines that do not come back, of which few may be lost.
func lastEngines(then func(d *drawer, e *platform.Event) time.Duration) func(d *drawer, e *platform.Event) time.Duration {
	return func(d *drawer, e *platform.Event) time.Duration {
		e.Count = max(min(d.some(), d.engines), 1)
		d.engines -= e.Count
		return then(d, e)
	}
}

// core draws troubles at machines that count, each after the one before has been
// caught up with.
func (d *drawer) core() {
	from := firstEvent
	for range 1 + d.IntN(5) {
		e, takes := d.one(counted)
		e.Core = true
		from += d.between(0, 4*time.Second)
		end := from + takes + d.catchUp + settle
		if end > d.span {
			return
		}
		e.At = strict.Duration(from)
		d.day.Events = append(d.day.Events, e)
		if d.IntN(2) == 0 {
			d.meet(e)
		}
		from = end
	}
}

// meet has the operator change something while a trouble lasts.
func (d *drawer) meet(trouble platform.Event) {
	e, _ := d.one(changes)
	e.At = strict.Duration(trouble.At.D() + d.between(0, max(trouble.For.D(), near)))
	d.day.Events = append(d.day.Events, e)
}

// several draws events that may fall together with any others. Those that end before
// the day's end do so before a closing fault.
func (d *drawer) several(kinds []kind, count int) {
	for range count {
		e, takes := d.one(kinds)
		latest := d.span - takes - settle
		if latest <= firstEvent {
			continue
		}
		e.At = strict.Duration(min(d.moment(latest), latest))
		d.day.Events = append(d.day.Events, e)
	}
}

// moment is any, or one just before or after another event begins or ends.
func (d *drawer) moment(latest time.Duration) time.Duration {
	if len(d.day.Events) == 0 || d.IntN(2) == 0 {
		return d.between(firstEvent, latest)
	}
	other := pick(d, d.day.Events)
	at := other.At.D()
	if d.IntN(2) == 0 {
		at += other.For.D()
	}
	return max(at+d.between(-near, near), firstEvent)
}

func (d *drawer) one(kinds []kind) (platform.Event, time.Duration) {
	k := pick(d, kinds)
	e := platform.Event{Kind: k.name}
	takes := k.draw(d, &e)
	return e, takes
}
