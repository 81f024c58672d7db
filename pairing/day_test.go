package pairing

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/prefixcache"
)

// modelled is an engine by the users' sheet: it reads one prompt after the other, and
// what it keeps it does not read again.
type modelled struct {
	Server
	reads, moves   float64 // until then, ms
	waits, runs    []float64
	keeps          *prefixcache.Book
	said, saidWait int
}

func open(ends []float64, now float64) (n int) {
	for _, end := range ends {
		if end > now {
			n++
		}
	}
	return n
}

// day is what half a minute came to, in parts of the worth owed.
type day struct {
	served, again, moved, crossed, late, direct float64
	p50, p95                                    float64
}

func (d day) net() float64 { return d.served - d.again - d.moved - d.crossed }

func (d day) String() string {
	return fmt.Sprintf("net %.3f: served %.3f, read again %.3f, moved %.3f, crossed %.3f; late %.3f, direct %.2f, p50 %.0f ms, p95 %.0f ms",
		d.net(), d.served, d.again, d.moved, d.crossed, d.late, d.direct, d.p50, d.p95)
}

// play is 34 s of the smaller site's mix at nine nodes and nine engines, of which four
// read. Each node sees its own goes and reports every 500 ms that are 100 ms old;
// told, it hears of the others' goes, here at once and every time.
func play(rate, siteCost, crossGB float64, told, perSite bool) (d day) {
	r := rand.New(rand.NewSource(7))
	size := func(mean, spread, most float64) int {
		return 1 + int(min(most, mean*math.Exp(spread*r.NormFloat64()-spread*spread/2)))
	}
	sites := []string{"a", "b", "c"}
	var engines []*modelled
	byName := map[string]*modelled{}
	for i := range 9 {
		role := engine.Decode
		if i < 4 {
			role = engine.Prefill
		}
		e := &modelled{Server: server(fmt.Sprint("e", i), sites[i%3], role), keeps: prefixcache.New()}
		e.Load.Slots = 64
		engines, byName[e.Name] = append(engines, e), e
	}
	things := func(name string, firsts int, first float64, n int, mean float64) (out [][]engine.Part) {
		var tokens []int
		for range firsts {
			tokens = append(tokens, size(first, .4, 3*first))
		}
		for i := range n {
			out = append(out, []engine.Part{
				{ID: fmt.Sprint(name, i%firsts), Tokens: tokens[i%firsts]}, {ID: fmt.Sprint(name, "-", i), Tokens: size(mean, .7, 3*mean)},
			})
		}
		return out
	}
	checks, queries := things("check", 4, 2520, 84, 3780), things("query", 40, 119, 158, 79)
	var knows []*prefixcache.Book
	own := make([]map[string][]float64, 9)
	for i := range own {
		own[i] = map[string][]float64{}
		knows = append(knows, prefixcache.New())
	}
	known, memory := map[string]bool{}, 295740
	owed, waits, all := 0.0, []float64(nil), 0
	at := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	for now, report := 0.0, 0.0; now < 34000; now += r.ExpFloat64() * 1000 / rate {
		for ; report < now; report += 500 {
			for _, e := range engines {
				e.said, e.saidWait = open(e.runs, report-100), open(e.waits, report-100)
			}
		}
		node := r.Intn(9)
		v := View{Pool: "p", Site: sites[node%3], SiteCost: siteCost, Nodes: 9, Rank: node, Told: told,
			Engine: Facts{Slots: 64, MemoryTokens: memory, TokenBytes: 18432, LinkMbps: 550000}}
		worth, lateWorth, mean, aim := 3.0, 0.9, 9190.0+10*52, 400.0
		if r.Float64() < 0.44 {
			v.Parts = append(v.Parts, checks[r.Intn(84)]...)
			v.Parts, v.Out = append(v.Parts, engine.Part{ID: fmt.Sprint(all), Tokens: size(2890, 1, 39600)}), 11*size(4, 1, 18)
		} else {
			worth, lateWorth, mean, aim = 2, 0.6, 826+10*291, 500
			v.Parts = append(v.Parts, queries[r.Intn(158)]...)
			v.Parts, v.Out = append(v.Parts, engine.Part{ID: fmt.Sprint(all), Tokens: size(628, 1, 3310)}), 11*size(26, .6, 86)
		}
		all++
		v.Tokens, v.Aim = v.tokens(), at(aim-4)
		worthOf := min(4, 0.3+0.7*(float64(v.Tokens)+10*float64(v.Out))/mean)
		owed += worth * worthOf
		book, room := knows[node], memory/9
		if told {
			book, room = knows[0], memory
		}
		var servers []Server
		for _, e := range engines {
			if perSite && e.Role == engine.Prefill && e.Site != v.Site {
				continue
			}
			s := e.Server
			s.Load.Running, s.Load.Waiting, s.Inflight = e.said, e.saidWait, open(own[node][e.Name], now)
			s.Kept, s.Backlog = book.Tokens(e.Name, "1", v.Parts), book.Backlog(e.Name, "1", at(now))
			servers = append(servers, s)
		}
		pair, ok := v.Nominate(servers)
		if !ok {
			continue
		}
		writer, reader := byName[pair.Writer.Name], byName[pair.Writer.Name]
		pace, tokens := 28.4, float64(v.Tokens)
		if !pair.Direct {
			reader, pace = byName[pair.Reader.Name], 56.9
		}
		keeps := reader.keeps.Tokens(reader.Name, "1", v.Parts)
		upTo := 0
		for _, p := range v.Parts[:2] {
			if upTo += p.Tokens; upTo > keeps && known[p.ID] {
				d.again += 0.15 * float64(p.Tokens) / 1000
			}
			known[p.ID] = true
		}
		unread := tokens - float64(keeps)
		step := 3.09 + 0.102*float64(open(writer.runs, now))
		lasts := 4 + unread/pace + 0.165e-6*unread*(tokens-unread/2)
		if pair.Direct {
			lasts += math.Ceil(unread/1024) * step
			d.direct++
		}
		reader.reads = max(reader.reads, now) + lasts
		first := reader.reads
		reader.waits = append(reader.waits, first)
		own[node][reader.Name] = append(own[node][reader.Name], first)
		n := prefixcache.NoticeOf(v.Parts)
		n.Server, n.Life, n.Takes = reader.Name, "1", pair.Takes
		cross := 0.0
		if !pair.Direct {
			n.Writer, n.WriterLife = writer.Name, "1"
			far, price := 1.0, 1.0
			if reader.Site != writer.Site {
				far, price = 2, 3
			}
			writer.moves = max(first+1, writer.moves) + far*(3.3+tokens*18432*8/550e6)
			first = writer.moves
			d.moved += tokens * 18432 / 1e9 * 0.36 * price
			if reader.Site != v.Site {
				cross += 2*tokens + 1200
			}
		}
		if writer.Site != v.Site {
			cross += 2*tokens + 1200 + float64(v.Out)/11*85
		}
		d.crossed += cross * crossGB / 1e9
		book.Take(n, room, at(now), func(string) bool { return true })
		n.Takes = 0
		reader.keeps.Take(n, memory, at(now), func(string) bool { return true })
		writer.keeps.Take(n, memory, at(now), func(string) bool { return true })
		writer.waits = append(writer.waits, first)
		writer.runs = append(writer.runs, first+13+float64(11+v.Out)*step)
		own[node][writer.Name] = append(own[node][writer.Name], first+13+float64(11+v.Out)*step)
		wait := first + 13 + 11*step - now + 4
		waits = append(waits, wait)
		if wait > aim {
			worth = lateWorth
			d.late++
		}
		d.served += worth * worthOf
	}
	sort.Float64s(waits)
	d.p50, d.p95 = waits[len(waits)/2], waits[len(waits)*95/100]
	for _, part := range []*float64{&d.served, &d.again, &d.moved, &d.crossed} {
		*part /= owed
	}
	d.late, d.direct = d.late/float64(all), d.direct/float64(all)
	return d
}

// TestDay holds the choice of homes, and of telling other nodes, to what they bring.
func TestDay(t *testing.T) {
	Convey("one home in the fleet is better than one in each site, and to be told is better still", t, func() {
		for name, c := range map[string][3]float64{"dear": {50, 1, 6900}, "busy": {65, 0.2, 1500}} {
			apart, alone, told := play(c[0], c[1], c[2], false, true), play(c[0], c[1], c[2], false, false), play(c[0], c[1], c[2], true, false)
			t.Logf("%s, a home a site: %v", name, apart)
			t.Logf("%s, one home:      %v", name, alone)
			t.Logf("%s, told:          %v", name, told)
			So(alone.net(), ShouldBeGreaterThan, apart.net()+0.02)
			So(told.net(), ShouldBeGreaterThan, alone.net()+0.05)
			So(told.late, ShouldBeLessThan, 0.05)
		}
	})
}
