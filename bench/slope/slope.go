// Package slope measures what a node spends on control against the size of the
// fleet: the product's own nodes without callers ("hollow"), many to a process,
// but a few of each kind in a process of their own, which are the ones measured
// (docs/CAPACITY.md).
package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"linedrum.example/linedrum/calot"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/settings"
)

// Phases of a run.
const (
	PhaseIdle    = "idle"    // one whole re-announcement of every node
	PhaseDesk    = "desk"    // edits of a small desk file, and of one of the named size
	PhaseChurn   = "churn"   // nodes restarted, replaced and failed, one after the other
	PhaseZone    = "zone"    // a zone lost at one moment, and back at one moment
	PhaseReports = "reports" // engines report to every node
)

// Phases lists all.
func Phases() []string {
	return []string{PhaseIdle, PhaseDesk, PhaseChurn, PhaseZone, PhaseReports}
}

// Config of one run.
type Config struct {
	Nodes, Disks, Sites int
	Phases              []string
	Stretch             float64       // every bound times this; costs are given as if it were 1
	Pools, Tenants      int           // of the desk file of the named size
	Idle                time.Duration // how long to look at idle nodes; 0: a whole period of re-announcements
	Batch               int           // nodes that start at one moment; 0: all
	Engines             []int         // so many report, one after the other
	Seed                uint64
	Commit              string
	Profile             string   // folder for profiles, or empty
	HostArgs            []string // make this program a process of hollow nodes
}

// maxRSS ends a run before it takes the machine's memory.
const maxRSS = 6e9

// real is a span of the fleet's time as it really takes.
func (c Config) real(d time.Duration) time.Duration {
	return time.Duration(float64(d) * c.Stretch)
}

// Row is what one group of nodes spent in one window, a node and a second of the
// fleet's own time. The group's processes host one node each.
type Row struct {
	Commit            string
	Seed              uint64
	Nodes             int
	Disks             int
	Stretch           float64
	Phase             string
	Group             string
	Seconds           float64 // of the fleet's time
	Of                int     // nodes measured
	Cores, CoresMost  float64 // mean and the dearest node
	BytesOut, BytesIn float64 // payload between nodes: datagrams and frames
	DatagramsOut      float64
	DatagramBytesOut  float64
	DatagramBytesIn   float64
	FramesOut         float64
	FrameBytesOut     float64
	FrameBytesIn      float64
	BytesMost         float64 // out and in of the dearest node
	PollsOut          float64
	PollBytes         float64 // out and in, with engines
	Lines             float64
	RSS, RSSMost      float64 // bytes, at the end
	Heap              float64
	AllRSS            float64            // bytes, of all processes of hollow nodes
	Yardstick         float64            // processor seconds of a fixed piece of work meanwhile
	RestCores         float64            // a node, in the shared processes
	Extra             map[string]float64 // of the phase
}

// Run takes a fleet of one size through its phases.
func Run(c Config, say func(string)) ([]Row, error) {
	f, err := launch(c)
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &measured{f: f, say: say, random: rand.New(rand.NewPCG(c.Seed, uint64(c.Nodes)))}
	if err := r.start(); err != nil {
		return nil, err
	}
	for _, phase := range c.Phases {
		step := map[string]func() error{
			PhaseIdle: r.idle, PhaseDesk: r.deskEdits, PhaseChurn: r.churn, PhaseZone: r.zone, PhaseReports: r.reports,
		}[phase]
		if step == nil {
			return nil, fmt.Errorf("no phase %q: one of %s", phase, strings.Join(Phases(), ", "))
		}
		if err := step(); err != nil {
			return r.rows, fmt.Errorf("%d nodes, %s: %w", c.Nodes, phase, err)
		}
	}
	return r.rows, nil
}

// measured is one run under way.
type measured struct {
	f      *hollowFleet
	say    func(string)
	random *rand.Rand
	rows   []Row
}

func (r *measured) pause(d time.Duration) { lifecycle.Pause(r.f.crew.Context(), r.f.c.real(d)) }

// window samples, does something, and samples again.
func (r *measured) window(phase string, extra map[string]float64, during func() error) error {
	if err := r.f.profile(phase); err != nil {
		return err
	}
	before, err := r.f.sample()
	if err != nil {
		return err
	}
	var y yardstick
	ctx, cancel := context.WithCancel(r.f.crew.Context())
	defer cancel()
	r.f.crew.Start(func(context.Context) { y.run(ctx) })
	if err := during(); err != nil {
		return err
	}
	after, err := r.f.sample()
	if err != nil {
		return err
	}
	if err := r.f.profile(phase); err != nil {
		return err
	}
	for _, group := range []string{GroupDisk, GroupPlain} {
		row := r.row(phase, group, before, after)
		row.Extra, row.Yardstick = extra, y.piece()
		if row.AllRSS > maxRSS {
			return fmt.Errorf("all processes together hold %.1f GB, more than is allowed", row.AllRSS/1e9)
		}
		r.rows = append(r.rows, row)
		r.say(row.String())
	}
	return nil
}

// String is a row on one line.
func (r Row) String() string {
	return fmt.Sprintf("n=%d %s %s: cores %.5f most %.5f rest %.5f, bytes/s out %.0f in %.0f (datagrams %.0f out, frames %.0f out), polls/s %.0f, rss %.1f MB of %.2f GB, yardstick %.3f ms, %v",
		r.Nodes, r.Phase, r.Group, r.Cores, r.CoresMost, r.RestCores, r.BytesOut, r.BytesIn, r.DatagramBytesOut, r.FrameBytesOut, r.PollsOut, r.RSS/1e6, r.AllRSS/1e9, r.Yardstick*1e3, r.Extra)
}

func (r *measured) row(phase, group string, before, after map[*proc]*Sample) Row {
	c := r.f.c
	out := Row{Commit: c.Commit, Seed: c.Seed, Nodes: c.Nodes, Disks: c.Disks, Stretch: c.Stretch, Phase: phase, Group: group}
	restNodes := 0
	for _, p := range r.f.procs {
		b, a := before[p], after[p]
		if a == nil || b == nil {
			continue
		}
		out.AllRSS += float64(a.RSS)
		seconds := float64(a.At-b.At) / 1e9 / c.Stretch
		cores := float64(a.CPU-b.CPU) / 1e9 / seconds
		if p.group == groupRest {
			out.RestCores += cores
			restNodes += len(p.nodes)
		}
		if p.group != group {
			continue
		}
		out.Of++
		out.Seconds = seconds
		out.Cores += cores
		out.CoresMost = max(out.CoresMost, cores)
		out.RSS += float64(a.RSS)
		out.RSSMost = max(out.RSSMost, float64(a.RSS))
		out.Heap += float64(a.Heap)
		m, n := a.Nodes[p.nodes[0]], b.Nodes[p.nodes[0]]
		rate := func(after, before uint64) float64 { return float64(after-before) / seconds }
		out.DatagramsOut += rate(m.DatagramsOut, n.DatagramsOut)
		out.DatagramBytesOut += rate(m.DatagramBytesOut, n.DatagramBytesOut)
		out.DatagramBytesIn += rate(m.DatagramBytesIn, n.DatagramBytesIn)
		out.FramesOut += rate(m.FramesOut, n.FramesOut)
		out.FrameBytesOut += rate(m.FrameBytesOut, n.FrameBytesOut)
		out.FrameBytesIn += rate(m.FrameBytesIn, n.FrameBytesIn)
		out.PollsOut += rate(m.PollsOut, n.PollsOut)
		out.PollBytes += rate(m.PollBytesOut, n.PollBytesOut) + rate(m.PollBytesIn, n.PollBytesIn)
		out.Lines += rate(m.Lines, n.Lines)
		out.BytesMost = max(out.BytesMost, rate(m.DatagramBytesOut+m.FrameBytesOut, n.DatagramBytesOut+n.FrameBytesOut)+
			rate(m.DatagramBytesIn+m.FrameBytesIn, n.DatagramBytesIn+n.FrameBytesIn))
	}
	if of := float64(out.Of); of > 0 {
		for _, v := range []*float64{&out.Cores, &out.RSS, &out.Heap, &out.DatagramsOut, &out.DatagramBytesOut, &out.DatagramBytesIn,
			&out.FramesOut, &out.FrameBytesOut, &out.FrameBytesIn, &out.PollsOut, &out.PollBytes, &out.Lines} {
			*v /= of
		}
	}
	out.BytesOut, out.BytesIn = out.DatagramBytesOut+out.FrameBytesOut, out.DatagramBytesIn+out.FrameBytesIn
	if restNodes > 0 {
		out.RestCores /= float64(restNodes)
	}
	return out
}

// awaitTables waits until every node outside the given ones holds so many
// others, and tells how long that took in the fleet's time.
func (r *measured) awaitTables(others int, without map[int]bool, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	worst, least, most := 0, 0, 0
	for time.Since(began) < r.f.c.real(limit) {
		samples, err := r.f.sample()
		if err != nil {
			return 0, err
		}
		worst, least, most = 0, others, 0
		for _, s := range samples {
			for i, c := range s.Nodes {
				if !without[i] && c.Table != others {
					worst++
					least, most = min(least, c.Table), max(most, c.Table)
				}
			}
		}
		if worst == 0 {
			return time.Duration(float64(time.Since(began)) / r.f.c.Stretch), nil
		}
		r.pause(100 * time.Millisecond)
	}
	return 0, fmt.Errorf("%d tables hold %d to %d instead of %d others after %v", worst, least, most, others, limit)
}

// used tells the processor time of all processes so far, by group.
func (r *measured) used() string {
	samples, err := r.f.sample()
	if err != nil {
		return err.Error()
	}
	var out strings.Builder
	for _, p := range r.f.procs {
		fmt.Fprintf(&out, "%s %.1fs ", p.group, float64(samples[p].CPU)/1e9)
	}
	return out.String()
}

// startLimit bounds how long all tables may take to agree after a start.
const startLimit = 60 * time.Second

// start brings the nodes up, so many at one moment, each batch once all tables agree.
func (r *measured) start() error {
	for _, h := range r.f.nodes {
		h.lives = 1
	}
	batch := r.f.c.Batch
	if batch == 0 {
		batch = len(r.f.nodes)
	}
	later := map[int]bool{}
	extra := map[string]float64{"batch": float64(batch)}
	for _, h := range r.f.nodes {
		later[h.index] = true
	}
	for up := 0; up < len(r.f.nodes); {
		next := r.f.nodes[up:min(up+batch, len(r.f.nodes))]
		began := time.Now()
		for _, h := range next {
			delete(later, h.index)
		}
		if err := r.f.tell(opStart, next...); err != nil {
			return err
		}
		up += len(next)
		for {
			_, err := r.awaitTables(up-1, later, 10*time.Second)
			if err == nil {
				break
			}
			r.say(fmt.Sprintf("n=%d: %v; %s", r.f.c.Nodes, err, r.used()))
			if time.Since(began) > r.f.c.real(startLimit) {
				return err
			}
		}
		took := time.Since(began).Seconds() / r.f.c.Stretch
		extra["seconds_most"] = max(extra["seconds_most"], took)
		r.say(fmt.Sprintf("n=%d: %d in one ring after %.1f s", r.f.c.Nodes, up, took))
	}
	samples, err := r.f.sample()
	if err != nil {
		return err
	}
	for _, s := range samples {
		for _, c := range s.Nodes {
			extra["lines"] += float64(c.Lines)
		}
	}
	r.rows = append(r.rows, Row{Commit: r.f.c.Commit, Seed: r.f.c.Seed, Nodes: r.f.c.Nodes, Disks: r.f.c.Disks, Stretch: r.f.c.Stretch, Phase: "start", Extra: extra})
	r.pause(time.Second)
	return nil
}

// idle looks at nodes that nothing happens to; in a whole period of
// re-announcements each node has one.
func (r *measured) idle() error {
	return r.window(PhaseIdle, nil, func() error {
		span := r.f.c.Idle
		if span == 0 {
			span = calot.TimingFor(settings.Default().Bounds.Recovery.D()).Announce
		}
		r.pause(span)
		return nil
	})
}

func poolName(i int) string { return fmt.Sprintf("model-%02d", i) }

// deskFile is one with so many pools, and a desk for each tenant.
func deskFile(pools, tenants, edit int) []byte {
	file := map[string]any{}
	var all, desks []any
	for i := range pools {
		all = append(all, map[string]any{"name": poolName(i), "site_cost": 0.5})
	}
	for i := range tenants {
		desks = append(desks, map[string]any{"name": fmt.Sprintf("tenant-%04d", i), "pool": poolName(i % pools), "kinds": []any{
			map[string]any{"name": "person", "expiry": "10s", "queue": 64 + edit%2, "streams": true, "max_tokens": 256, "share": 2},
		}})
	}
	file["pools"], file["desks"] = all, desks
	b, err := json.Marshal(file)
	if err != nil {
		panic(err) // a map of texts always encodes
	}
	return b
}

// apply hands a desk file over and waits until every node has it in force; it
// gives the time from the call to the last node, in the fleet's time.
func (r *measured) apply(file []byte) (time.Duration, error) {
	f := r.f
	began := time.Now()
	at := f.nodes[len(f.nodes)-1]
	status, body, err := f.call(at, http.MethodPut, fmt.Sprintf("/linedrum/desk?based_on=%d&id=edit-%d", f.desk, f.desk+1), file)
	if err != nil || status != http.StatusOK {
		return 0, fmt.Errorf("status %d %s: %v", status, body, err)
	}
	f.desk++
	for time.Since(began) < f.c.real(30*time.Second) {
		samples, err := f.sample()
		if err != nil {
			return 0, err
		}
		last, all := int64(0), true
		for _, s := range samples {
			for _, c := range s.Nodes {
				all = all && c.Desk >= f.desk
				last = max(last, c.DeskAt)
			}
		}
		if all {
			return time.Duration(float64(last-began.UnixNano()) / f.c.Stretch), nil
		}
		r.pause(250 * time.Millisecond)
	}
	return 0, fmt.Errorf("desk file %d is not in force everywhere after 30 s", f.desk)
}

// deskEdits measures with a desk file in force, and while it is edited: first a
// small one, then one of the named size.
func (r *measured) deskEdits() error {
	for _, size := range []struct {
		name           string
		pools, tenants int
		edits          int
	}{{"small", 1, 8, 6}, {"named", r.f.c.Pools, r.f.c.Tenants, 3}} {
		file := deskFile(size.pools, size.tenants, 0)
		if _, err := r.apply(file); err != nil {
			return err
		}
		r.pause(time.Second)
		extra := map[string]float64{"bytes": float64(len(file)), "pools": float64(size.pools), "tenants": float64(size.tenants)}
		if err := r.window("held-"+size.name, extra, func() error { r.pause(6 * time.Second); return nil }); err != nil {
			return err
		}
		edits := map[string]float64{"bytes": float64(len(file)), "edits": float64(size.edits)}
		err := r.window("edits-"+size.name, edits, func() error {
			for i := range size.edits {
				began := time.Now()
				took, err := r.apply(deskFile(size.pools, size.tenants, i+1))
				if err != nil {
					return err
				}
				edits["in_force_most"] = max(edits["in_force_most"], took.Seconds())
				lifecycle.Pause(r.f.crew.Context(), r.f.c.real(2*time.Second)-time.Since(began))
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// rest lists the nodes in shared processes: those may go and come.
func (r *measured) rest() (out []*hollow) {
	for _, h := range r.f.nodes {
		if h.proc.group == groupRest {
			out = append(out, h)
		}
	}
	return out
}

// churn has nodes restarted in place, replaced at new addresses, and failed and
// replaced, some at a time. One in four fails; 10 in 610 do in the users' days.
func (r *measured) churn() error {
	rest := r.rest()
	at, done := min(4, len(rest)), map[string]float64{}
	began := time.Now()
	if err := r.window("before-churn", nil, func() error { r.pause(8 * time.Second); return nil }); err != nil {
		return err
	}
	return r.window(PhaseChurn, done, func() error {
		begun := time.Now()
		events := make(chan error, at)
		next := r.random.Perm(len(rest))
		hands := r.f.crew
		for w := range at {
			hands.Start(func(context.Context) {
				events <- func() error {
					for i := w; time.Since(begun) < r.f.c.real(16*time.Second); i += at {
						turn := time.Now()
						// Each hand has nodes of its own.
						mine := (len(next) - w + at - 1) / at
						if err := r.event(rest[next[w+i/at%mine*at]], i); err != nil {
							return err
						}
						lifecycle.Pause(r.f.crew.Context(), r.f.c.real(2*time.Second)-time.Since(turn))
					}
					return nil
				}()
			})
		}
		var first error
		for range at {
			if err := <-events; err != nil && first == nil {
				first = err
			}
		}
		done["events"] = float64(r.events())
		done["seconds"] = time.Since(begun).Seconds() / r.f.c.Stretch
		done["since"] = time.Since(began).Seconds() / r.f.c.Stretch
		return first
	})
}

// events counts lives beyond each node's first.
func (r *measured) events() (n uint64) {
	for _, h := range r.f.nodes {
		n += h.lives - 1
	}
	return n
}

func (r *measured) event(h *hollow, i int) error {
	op, move := opStop, i%4 == 1
	if i%4 == 3 {
		op, move = opKill, true
	}
	if err := r.f.tell(op, h); err != nil {
		return err
	}
	if op == opKill {
		r.pause(2 * time.Second)
	}
	if move {
		laid, err := r.f.lay(h.index)
		if err != nil {
			return err
		}
		h.listen, h.http = laid.listen, laid.http
	}
	h.lives++
	return r.f.tell(opStart, h)
}

// zone loses a tenth of the nodes at one moment, about twice the mean of 19
// zones, and has them back at one moment.
func (r *measured) zone() error {
	rest := r.rest()
	r.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	lost := rest[:min(len(rest), max(1, len(r.f.nodes)/10))]
	without := map[int]bool{}
	for _, h := range lost {
		without[h.index] = true
	}
	n := len(r.f.nodes)
	for _, turn := range []struct {
		name, op string
		others   int
		without  map[int]bool
	}{{"zone-lost", opKill, n - len(lost) - 1, without}, {"zone-back", opStart, n - 1, nil}} {
		extra := map[string]float64{"lost": float64(len(lost))}
		err := r.window(turn.name, extra, func() error {
			began := time.Now()
			told := make(chan error, 1)
			r.f.crew.Start(func(context.Context) { told <- r.f.tell(turn.op, lost...) })
			before, err := r.f.sample(GroupDisk, GroupPlain)
			if err != nil {
				return err
			}
			agreed := false
			for time.Since(began) < r.f.c.real(8*time.Second) || !agreed {
				if time.Since(began) > r.f.c.real(30*time.Second) {
					return fmt.Errorf("tables do not agree after 30 s")
				}
				r.pause(500 * time.Millisecond)
				after, err := r.f.sample(GroupDisk, GroupPlain)
				if err != nil {
					return err
				}
				for _, group := range []string{GroupDisk, GroupPlain} {
					row := r.row("", group, before, after)
					extra["cores_peak_"+group] = max(extra["cores_peak_"+group], row.CoresMost)
					extra["bytes_peak_"+group] = max(extra["bytes_peak_"+group], row.BytesMost)
				}
				before = after
				if !agreed {
					if took, err := r.awaitTables(turn.others, turn.without, 20*time.Millisecond); err == nil && took >= 0 {
						agreed = true
						extra["agreed_after"] = time.Since(began).Seconds() / r.f.c.Stretch
					}
				}
			}
			return <-told
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// reports has more and more engines listed, each of which every node asks.
func (r *measured) reports() error {
	counts := slices.Clone(r.f.c.Engines)
	slices.Sort(counts)
	for _, count := range counts {
		if err := r.f.startEngines(count); err != nil {
			return err
		}
		r.f.serial++
		list := engine.List{Serial: r.f.serial, Engines: []engine.Listed{}}
		for _, e := range r.f.engines {
			list.Engines = append(list.Engines, engine.Listed{Name: e.Name, Addr: e.Addr(), Site: e.Site, Pool: e.Pool, State: "live"})
		}
		value, err := json.Marshal(list)
		if err != nil {
			return err
		}
		if status, body, err := r.f.call(r.f.nodes[len(r.f.nodes)-1], http.MethodPut, "/linedrum/engines", value); err != nil || status != http.StatusOK {
			return fmt.Errorf("status %d %s: %v", status, body, err)
		}
		r.pause(3 * time.Second)
		extra := map[string]float64{"engines": float64(count), "bytes": float64(len(value))}
		if err := r.window(PhaseReports, extra, func() error { r.pause(6 * time.Second); return nil }); err != nil {
			return err
		}
	}
	return nil
}
