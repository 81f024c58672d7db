package ledger

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/verdict"
)

// outcomes are all that a go can come to.
var outcomes = []struct {
	v    verdict.Verdict
	code string
}{
	{verdict.Ran, ""}, {verdict.MayHaveRun, "engine-cut"}, {verdict.NotRun, "engine-busy"}, {verdict.NotRun, CodeLapsed}, {verdict.NotRun, CodeInput},
	{verdict.NotRun, CodeUnreached},
}

type breach func(l *Ledger, v View, m Move) string

// walk derives the next move in every world, and follows every outcome of every go.
// Charged are the goes so far that count against the budget. Courses end at MaxGoes
// by themselves; kinds whose unreached goes do not count are followed for four.
func walk(l Ledger, charged int, check breach, found map[string]int, steps *int) {
	for bits := range 64 {
		v := View{
			Now: time.Second, Permit: bits&1 == 0, Budget: bits&2 == 0, Left: bits&4 != 0, Capacity: bits&8 == 0, Direct: bits&32 != 0,
		}
		if v.Direct && !l.MayDirect {
			continue
		}
		if bits&16 != 0 {
			v.Now = l.Expiry
		}
		m := l.Next(v)
		*steps++
		if why := check(&l, v, m); why != "" {
			found[why]++
		}
		spent := charged
		if m.Repeat {
			spent++
		}
		if (m.Step == StepPrefill || m.Step == StepDecode) && arrivals(l.Goes)+1 > 1+spent && !(m.Step == StepPrefill && arrivals(l.Goes) == 0) {
			found["a go beyond the first that nobody is charged for"]++
		}
		if bits&^32 != 0 || l.Most > 0 && len(l.Goes) == 4 {
			continue // two worlds to go on in: the best one, by a reader or without
		}
		switch m.Step {
		case StepClaim:
			for _, c := range []Claim{ClaimMine, ClaimUnknown, ClaimTaken} {
				next := l
				next.Claim = c
				walk(next, spent, check, found, steps)
			}
		case StepPrefill, StepDecode:
			phase := Prefill
			if m.Step == StepDecode {
				phase = Decode
			}
			for _, o := range outcomes {
				for _, first := range []bool{false, true} {
					if first && phase == Prefill || first && o.v == verdict.NotRun {
						continue
					}
					next := l
					next.Goes = append(append([]Go(nil), l.Goes...), Go{Phase: phase, Verdict: o.v, Code: o.code})
					next.FirstByte = l.FirstByte || first
					walk(next, spent, check, found, steps)
				}
			}
		}
	}
}

// arrivals are what engines may have seen, but the first prefill that was taken up.
func arrivals(goes []Go) int {
	n, taken := 0, 0
	for _, g := range goes {
		if g.Code != CodeUnreached {
			n++
		}
		if g.Phase == Prefill && g.Verdict != verdict.NotRun {
			taken = 1
		}
	}
	return n - taken
}

// never holds the lines of the never-list that the ledger alone can break.
func never(l *Ledger, v View, m Move) string {
	goes := m.Step == StepPrefill || m.Step == StepDecode
	reads, held, written, may, began, ran := 0, false, false, false, false, false
	for _, g := range l.Goes {
		if g.Phase == Prefill {
			reads++
		}
		written = written || g.Phase == Decode && g.Verdict == verdict.Ran
		may = may || g.Verdict == verdict.MayHaveRun
		if g.Phase == Decode || !l.PureRead {
			ran = ran || g.Verdict != verdict.NotRun && !(g.Phase == Prefill && g.Verdict == verdict.Ran)
			began = began || g.Verdict != verdict.NotRun
		}
		held = g.Phase == Prefill && (held || g.Verdict == verdict.Ran) ||
			g.Phase == Decode && held && g.Code != CodeLapsed && !(l.TakenOnce && g.Verdict != verdict.NotRun)
	}
	switch {
	case goes && !v.Permit:
		return "a go without a permit"
	case goes && v.Now >= l.Expiry:
		return "a go after expiry"
	case goes && v.Left:
		return "a go for a consumer that left"
	case goes && written:
		return "a go after the reply was written"
	case goes && l.FirstByte && (!l.Resume || l.Changing || l.Once):
		return "a go after a byte reached the caller"
	case goes && l.Changing && ran:
		return "a changing go after one that may have run"
	case goes && l.Most > 0 && m.Step == StepDecode && arrivals(l.Goes)+1 > l.Most:
		return "a go to one engine too many"
	case m.Step == StepPrefill && l.Most > 0 && arrivals(append(append([]Go(nil), l.Goes...), Go{Phase: Prefill, Verdict: verdict.Ran}))+1 > l.Most:
		return "a prefill that no decode may follow"
	case l.FirstByte && m.Step == StepFail:
		return "a failure told after a byte reached the caller"
	case goes && l.Once && l.Claim != ClaimMine:
		return "a once-only go without its claim"
	case goes && l.Once && may:
		return "a once-only go after one that may have run"
	case goes && len(l.Goes) >= MaxGoes:
		return "a go too many"
	case m.Repeat && !v.Budget:
		return "a repeat beyond the budget"
	case m.Step == StepPrefill && reads > 0 && !m.Repeat:
		return "a second prefill that counts as the first"
	case m.Step == StepDecode && !held && !v.Direct:
		return "a decode without a prefill's memory"
	case m.Step == StepFail && m.Verdict == verdict.NotRun && began:
		return "not-run of what began"
	case m.Step == StepFail && m.Verdict == verdict.MayHaveRun && !began:
		return "may-have-run of what never began"
	case m.Step == StepFinish && !written:
		return "finished without a reply"
	}
	return ""
}

func TestNever(t *testing.T) {
	Convey("in every world, after every course of goes, the next move keeps the never-list", t, func() {
		for _, once := range []bool{false, true} {
			found, steps := map[string]int{}, 0
			walk(Ledger{Once: once, Expiry: 10 * time.Second}, 0, never, found, &steps)
			So(found, ShouldBeEmpty)
			So(steps, ShouldBeGreaterThan, 500)
		}
	})
	Convey("and for every kind of request", t, func() {
		for bits := range 128 {
			l := Ledger{
				Expiry: 10 * time.Second, Most: 1 + bits&1, MayDirect: bits&2 != 0, Once: bits&4 != 0,
				Changing: bits&8 != 0, Resume: bits&16 != 0, PureRead: bits&32 != 0, TakenOnce: bits&64 != 0,
			}
			found, steps := map[string]int{}, 0
			walk(l, 0, never, found, &steps)
			So(found, ShouldBeEmpty)
			So(steps, ShouldBeGreaterThan, 50)
		}
	})
	Convey("a changing request is sent once, and read and written within one go", t, func() {
		l := Ledger{Changing: true, Most: 1, Expiry: time.Minute, Goes: []Go{{Phase: Prefill, Verdict: verdict.Ran}}}
		v := View{Permit: true, Budget: true, Capacity: true}
		So(l.Next(v), ShouldResemble, Move{Step: StepDecode})
		l.Goes = append(l.Goes, Go{Phase: Decode, Verdict: verdict.MayHaveRun})
		So(l.Next(v).Step, ShouldEqual, StepFail)
	})
	Convey("a broken stream goes on where its kind allows it, and memory that was taken is read again", t, func() {
		l := Ledger{Resume: true, TakenOnce: true, MayDirect: true, Expiry: time.Minute, FirstByte: true, Goes: []Go{{Phase: Decode, Verdict: verdict.MayHaveRun}}}
		v := View{Permit: true, Budget: true, Capacity: true, Direct: true}
		So(l.Next(v), ShouldResemble, Move{Step: StepDecode, Repeat: true})
		v.Direct = false
		So(l.Next(v), ShouldResemble, Move{Step: StepPrefill, Repeat: true})
		l.Goes = []Go{{Phase: Prefill, Verdict: verdict.Ran}, {Phase: Decode, Verdict: verdict.MayHaveRun}}
		So(l.Next(v), ShouldResemble, Move{Step: StepPrefill, Repeat: true})
		v.Budget = false
		So(l.Next(v).Step, ShouldEqual, StepBreak)
	})
	Convey("the check catches a rule that is broken", t, func() {
		found, steps := map[string]int{}, 0
		walk(Ledger{Once: true, Expiry: 10 * time.Second}, 0, func(l *Ledger, v View, m Move) string {
			forgetful := *l
			forgetful.Once, forgetful.Claim = false, ClaimMine
			return never(l, v, forgetful.Next(v))
		}, found, &steps)
		So(found, ShouldContainKey, "a once-only go after one that may have run")
		for why, forget := range map[string]func(l *Ledger){
			"a changing go after one that may have run": func(l *Ledger) { l.Changing = false },
			"a go after a byte reached the caller":      func(l *Ledger) { l.FirstByte = false },
			"a go to one engine too many":               func(l *Ledger) { l.Most++ },
			"a decode without a prefill's memory":       func(l *Ledger) { l.TakenOnce = false },
		} {
			found, steps := map[string]int{}, 0
			l := Ledger{Most: 2, MayDirect: true, Changing: why[2] == 'c', TakenOnce: true, PureRead: true, Expiry: 10 * time.Second}
			walk(l, 0, func(l *Ledger, v View, m Move) string {
				forgetful := *l
				forget(&forgetful)
				return never(l, v, forgetful.Next(v))
			}, found, &steps)
			So(found, ShouldContainKey, why)
		}
	})
	Convey("lapsed memory is read again once, and no more", t, func() {
		l := Ledger{Expiry: time.Minute, Goes: []Go{{Phase: Prefill, Verdict: verdict.Ran}, {Phase: Decode, Verdict: verdict.NotRun, Code: CodeLapsed}}}
		v := View{Permit: true, Budget: true, Capacity: true}
		So(l.Next(v), ShouldResemble, Move{Step: StepPrefill, Repeat: true})
		l.Goes = append(l.Goes, l.Goes...)
		m := l.Next(v)
		So(m.Step, ShouldEqual, StepFail)
		So(m.Verdict, ShouldEqual, verdict.MayHaveRun)
	})
}

func TestKinds(t *testing.T) {
	best := View{Permit: true, Budget: true, Capacity: true}
	read := Go{Phase: Prefill, Verdict: verdict.Ran}
	refused := Go{Phase: Prefill, Verdict: verdict.NotRun, Code: "engine-busy"}
	cut := Go{Phase: Decode, Verdict: verdict.MayHaveRun, Code: "engine-cut"}
	busy := Go{Phase: Decode, Verdict: verdict.NotRun, Code: "engine-busy"}
	dark := Go{Phase: Decode, Verdict: verdict.NotRun, Code: CodeUnreached}
	direct := func(v View) View { v.Direct = true; return v }
	for _, c := range []struct {
		name string
		l    Ledger
		v    View
		want Move
	}{
		{"a direct go needs no prefill", Ledger{}, direct(best), Move{Step: StepDecode}},
		{"nor does one that is taken whole", Ledger{Whole: true}, best, Move{Step: StepDecode}},
		{"one that is taken whole waits for an engine, not for a prefill", Ledger{Whole: true, Most: 1}, View{Permit: true, Budget: true}, Move{Step: StepWait, Code: "no-capacity"}},
		{"and is told not-run where its one engine turned it away", Ledger{Whole: true, Most: 1, Changing: true, Goes: []Go{busy}}, best, Move{Step: StepFail, Verdict: verdict.NotRun, Code: CodeGoes}},
		{"but goes on where that was not reached", Ledger{Whole: true, Most: 1, Changing: true, Goes: []Go{dark}}, best, Move{Step: StepDecode, Repeat: true}},
		{"one that was turned away tries another", Ledger{Goes: []Go{busy}}, direct(best), Move{Step: StepDecode, Repeat: true}},
		{"the first read is free, the decode after it the request's own", Ledger{Most: 1, Goes: []Go{read}}, best, Move{Step: StepDecode}},
		{"a read turned away counts", Ledger{Most: 1, Goes: []Go{refused}}, best, Move{Step: StepFail, Verdict: verdict.NotRun, Code: CodeGoes}},
		{"what met no engine does not", Ledger{Most: 1, Goes: []Go{read, dark}}, best, Move{Step: StepDecode, Repeat: true}},
		{"two engines, and the first is lost", Ledger{Most: 2, TakenOnce: true, MayDirect: true, Goes: []Go{read, cut}}, direct(best), Move{Step: StepDecode, Repeat: true}},
		{"a second prefill would be one too many then", Ledger{Most: 2, TakenOnce: true, Goes: []Go{read, cut}}, best, Move{Step: StepFail, Verdict: verdict.MayHaveRun, Code: CodeGoes}},
		{"a changing request is not repeated", Ledger{Changing: true, Goes: []Go{read, cut}}, best, Move{Step: StepFail, Verdict: verdict.MayHaveRun, Code: CodeMayRun}},
		{"but its prompt may be read again", Ledger{Changing: true, PureRead: true, Goes: []Go{{Phase: Prefill, Verdict: verdict.MayHaveRun}}}, best, Move{Step: StepPrefill, Repeat: true}},
		{"and it was not run by that", Ledger{Changing: true, PureRead: true, Goes: []Go{read}, Expiry: -1}, best, Move{Step: StepFail, Verdict: verdict.NotRun, Code: CodeExpired}},
		{"a stream goes on", Ledger{Resume: true, FirstByte: true, Goes: []Go{read, cut}}, best, Move{Step: StepDecode, Repeat: true}},
		{"or breaks, without budget", Ledger{Resume: true, FirstByte: true, Goes: []Go{read, cut}}, View{Permit: true, Capacity: true}, Move{Step: StepBreak, Verdict: verdict.MayHaveRun, Code: CodeBudget}},
		{"or where it is changing", Ledger{Resume: true, Changing: true, FirstByte: true, Goes: []Go{read, cut}}, best, Move{Step: StepBreak, Verdict: verdict.MayHaveRun, Code: CodeMayRun}},
	} {
		Convey(c.name, t, func() {
			if c.l.Expiry == 0 {
				c.l.Expiry = time.Minute
			}
			So(c.l.Next(c.v), ShouldResemble, c.want)
		})
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7}, uint16(0xffff))
	f.Fuzz(func(t *testing.T, goes []byte, bits uint16) {
		l := Ledger{
			Expiry: time.Minute, Most: int(bits & 15), Once: bits&16 != 0, Changing: bits&32 != 0, Resume: bits&64 != 0,
			PureRead: bits&128 != 0, TakenOnce: bits&256 != 0, MayDirect: bits&512 != 0, FirstByte: bits&1024 != 0, Claim: Claim(bits >> 14),
		}
		for _, b := range goes {
			o := outcomes[int(b>>1)%len(outcomes)]
			l.Goes = append(l.Goes, Go{Phase: Prefill + Phase(b&1), Verdict: o.v, Code: o.code})
		}
		v := View{Permit: bits&2048 == 0, Budget: bits&4096 == 0, Capacity: true, Direct: bits&8192 != 0 && l.MayDirect}
		m := l.Next(v)
		// Only a course that Next itself took can hold goes after one that ended it.
		if m.Step == 0 || m.Repeat && !v.Budget || m.Step == StepDecode && !l.Holds() && !v.Direct || l.FirstByte && m.Step == StepFail {
			t.Fatalf("%+v of %+v in %+v", m, l, v)
		}
	})
}

func TestBudget(t *testing.T) {
	const nodes, share, extra = 9, 0.2, 60
	window := 10 * time.Second
	spend := func(budgets []*Budget, table int, from, to time.Duration, real int) (repeats int) {
		for now := from; now < to; now += 100 * time.Millisecond {
			for _, b := range budgets {
				for range real {
					b.Real(now)
				}
				for b.May(now, table) {
					b.Spend(now)
					repeats++
				}
			}
		}
		return repeats
	}
	fleet := func(now time.Duration) []*Budget {
		var out []*Budget
		for range nodes {
			out = append(out, NewBudget(share, extra, window, nodes, now))
		}
		return out
	}
	Convey("all nodes together stay within the budget in a window, split or not", t, func() {
		for _, table := range []int{1, 4, 9, 20} {
			budgets := fleet(0)
			spend(budgets, table, 0, window, 1)
			repeats := spend(budgets, table, window, 2*window, 1)
			real := nodes * 100
			So(repeats, ShouldBeLessThanOrEqualTo, int(share*float64(real))+extra)
			So(repeats, ShouldBeGreaterThan, 0)
		}
	})
	Convey("a node that is cut off and sees nobody keeps to the share that it had", t, func() {
		var budgets []*Budget
		for range nodes {
			budgets = append(budgets, NewBudget(share, extra, window, 0, -window))
		}
		So(spend(budgets, nodes, 0, time.Second, 0), ShouldBeBetween, 0, extra+1)
		for _, b := range budgets {
			b.repeats = nil
		}
		So(spend(budgets, 1, time.Second, 2*time.Second, 0), ShouldBeBetween, 0, extra+1)
		b := NewBudget(share, extra, window, 0, -window)
		b.Unsure = true
		So(spend([]*Budget{b}, 1, 0, time.Second, 0), ShouldEqual, 0)
	})
	Convey("restarts with empty counters do not give a window's extra twice", t, func() {
		budgets := fleet(-window)
		repeats := spend(budgets, nodes, 0, window/2, 0)
		repeats += spend(fleet(window/2), nodes, window/2, window, 0)
		So(repeats, ShouldBeLessThanOrEqualTo, extra)
		So(repeats, ShouldBeGreaterThan, 0)
	})
}
