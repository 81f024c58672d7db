package platform

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// clean is a run without a breach: two configurations, some requests, an engine that
// leaves, a zone that is emptied, orders.
func clean() (*Evidence, Spec, time.Time) {
	spec := Desk(1)
	t0 := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	first := spec.first()
	second := clone(first)
	second.Version = 5
	second.Routes = second.Routes[:len(second.Routes)-1]
	ev := &Evidence{
		Acts: []*Act{
			{Kind: "put", Sent: t0, Ended: t0.Add(time.Second), Status: 200, Version: 3, Config: &first},
			{Kind: "patch", Sent: t0.Add(20 * time.Second), Ended: t0.Add(21 * time.Second), Status: 200, Based: 3, Version: 5, Config: &second},
			{Kind: "read", Sent: t0.Add(50 * time.Second), Ended: t0.Add(50 * time.Second), Status: 200, Body: marshal(second), Last: true, Node: "n1"},
		},
		Shown: []Shown{{t0, "i-1", "ready"}},
	}
	for i := range 40 {
		at := t0.Add(time.Duration(10+i) * time.Second)
		attempt, run := fmt.Sprintf("a%d", i), fmt.Sprintf("i-1.%d", i)
		host, path := "check.example", "/check/x"
		if i%2 == 1 {
			host, path = "query.example", "/query/x" // may run once
		}
		ev.Tries = append(ev.Tries, &Try{
			Attempt: attempt, Node: "n1", Method: "POST", Host: host, Target: path, Body: "b", Sent: at, Ended: at.Add(time.Second), Deadline: at.Add(3 * time.Second),
			Status: 200, Echo: attempt, Seal: run + ".0", Whole: true, Pieces: []Piece{{1, 1, attempt, run, 5, 0}, {5, 2, attempt, run, 5, 0}},
		})
		ev.Arrivals = append(ev.Arrivals, &Arrival{
			At: at, Engine: "i-1", Service: "huvo11a", Zone: "hall-a", Machine: "10.0.0.1", Attempt: attempt, Method: "POST", Host: host, Target: path, Body: "b", Run: run,
			Ran: at, Ended: at.Add(time.Second), Whole: true, Pieces: 5,
		})
	}
	return ev, spec, t0
}

// cutByStop has a planned stop cut a request that an engine is still at work on; times are
// ms after the signal.
func cutByStop(ev *Evidence, t0 time.Time, sent, cut int) {
	try, arrival := ev.Tries[20], ev.Arrivals[20]
	signal := t0.Add(25 * time.Second)
	ev.Upsets = append(ev.Upsets, &Upset{From: signal, To: signal.Add(7 * time.Second), Node: "n1", IP: "10.0.0.1", What: "stop", Planned: true})
	try.Sent, try.Ended = signal.Add(msOf(sent)), signal.Add(msOf(cut))
	try.Deadline = try.Sent.Add(8 * time.Second)
	try.Whole, try.Pieces = false, try.Pieces[:1]
	arrival.At, arrival.Ran, arrival.Ended, arrival.Whole, arrival.Broken = try.Sent, try.Sent, time.Time{}, false, false
}

// TestAudit plants one breach after the other, and has the auditor find each.
func TestAudit(t *testing.T) {
	planted := []struct {
		rule, name string
		plant      func(ev *Evidence, t0 time.Time)
	}{
		{"", "nothing", func(*Evidence, time.Time) {}},
		{"MIXED", "a success without a seal", func(ev *Evidence, _ time.Time) { ev.Tries[1].Seal = "" }},
		{"MIXED", "the answer of another", func(ev *Evidence, _ time.Time) { ev.Tries[1].Echo = "a2" }},
		{"MIXED", "bytes behind an answer", func(ev *Evidence, _ time.Time) { ev.Tries[1].Excess = "HTTP/1.1 200" }},
		{"MIXED", "a handle of another", func(ev *Evidence, _ time.Time) { ev.Arrivals[1].Source = "a2" }},
		{"MIXED", "a piece of another", func(ev *Evidence, _ time.Time) { ev.Tries[1].Pieces[1].Attempt = "a2" }},
		{"MIXED", "a failure that became a success", func(ev *Evidence, _ time.Time) { ev.Arrivals[1].Failed = true }},
		{"UNASKED", "a request that nobody sent", func(ev *Evidence, _ time.Time) { ev.Arrivals[1].Attempt = "smuggled" }},
		{"UNASKED", "another path", func(ev *Evidence, _ time.Time) { ev.Arrivals[1].Target = "/query/y" }},
		{"UNASKED", "another body", func(ev *Evidence, _ time.Time) { ev.Arrivals[1].Body = "c" }},
		{"TWICE", "two runs", func(ev *Evidence, _ time.Time) { r := *ev.Arrivals[1]; ev.Arrivals = append(ev.Arrivals, &r) }},
		{"", "two runs of a stream that may be resumed", func(ev *Evidence, _ time.Time) { r := *ev.Arrivals[2]; ev.Arrivals = append(ev.Arrivals, &r) }},
		{"", "a prompt that was read twice", func(ev *Evidence, _ time.Time) {
			for range 2 {
				r := *ev.Arrivals[1]
				r.Stage = StagePrompt
				ev.Arrivals = append(ev.Arrivals, &r)
			}
		}},
		{"REFUSED", "a promise that was broken", func(ev *Evidence, _ time.Time) { ev.Tries[1].Status, ev.Tries[1].Pieces = 503, nil }},
		{"ROUTE", "a service that nobody named", func(ev *Evidence, _ time.Time) { ev.Arrivals[1].Service = "other" }},
		{"CONFIG", "only a refused configuration allows it", func(ev *Evidence, t0 time.Time) {
			lost := clone(*ev.Acts[0].Config)
			lost.Version, lost.Routes[1].Service = 7, "other"
			ev.Acts = append(ev.Acts, &Act{Kind: "put", Sent: t0.Add(9 * time.Second), Ended: t0.Add(9 * time.Second), Status: 412, Based: 1, Version: 7, Config: &lost})
			ev.Arrivals[1].Service = "other"
		}},
		{"CONFIG", "a dropped route that is served on", func(ev *Evidence, _ time.Time) {
			ev.Tries[30].Host, ev.Tries[30].Target = "check.example", "/idle13/x"
			ev.Arrivals[30].Host, ev.Arrivals[30].Target = "check.example", "/idle13/x"
		}},
		{"CONFIG", "a route that is there and is not found", func(ev *Evidence, _ time.Time) {
			ev.Tries[30].Status, ev.Tries[30].Pieces = 404, nil
			ev.Arrivals = append(ev.Arrivals[:30:30], ev.Arrivals[31:]...)
		}},
		{"CONFIG", "a dropped route that is served on, long after trouble", func(ev *Evidence, t0 time.Time) {
			ev.Tries[30].Host, ev.Tries[30].Target = "check.example", "/idle13/x"
			ev.Arrivals[30].Host, ev.Arrivals[30].Target = "check.example", "/idle13/x"
			ev.Upsets = append(ev.Upsets, &Upset{From: t0.Add(22 * time.Second), To: t0.Add(24 * time.Second), Node: "n1", IP: "10.0.0.1", Core: true, What: "cut"})
		}},
		{"", "a dropped route that is served on, soon after trouble at most of the core", func(ev *Evidence, t0 time.Time) {
			ev.Tries[30].Host, ev.Tries[30].Target = "check.example", "/idle13/x"
			ev.Arrivals[30].Host, ev.Arrivals[30].Target = "check.example", "/idle13/x"
			for _, node := range []string{"n2", "n3"} {
				ev.Upsets = append(ev.Upsets, &Upset{From: t0.Add(35 * time.Second), To: t0.Add(35 * time.Second), Node: node, Core: true, What: "kill"})
			}
		}},
		{"CONFIG", "a dropped route that is served on beyond the stretch, while the core is unsettled", func(ev *Evidence, t0 time.Time) {
			ev.Tries[30].Host, ev.Tries[30].Target = "check.example", "/idle13/x"
			ev.Arrivals[30].Host, ev.Arrivals[30].Target = "check.example", "/idle13/x"
			ev.Upsets = append(ev.Upsets, &Upset{From: t0.Add(39 * time.Second), Node: "n2", Core: true, What: "freeze"})
		}},
		{"", "a dropped route that is served on within the stretch, while the core is unsettled", func(ev *Evidence, t0 time.Time) {
			ev.Tries[16].Host, ev.Tries[16].Target = "check.example", "/idle13/x"
			ev.Arrivals[16].Host, ev.Arrivals[16].Target = "check.example", "/idle13/x"
			ev.Upsets = append(ev.Upsets, &Upset{From: t0.Add(24 * time.Second), Node: "n2", Core: true, What: "freeze"})
		}},
		{"CONFIG", "a dropped route that is served on, long after one machine of the core was cut off", func(ev *Evidence, t0 time.Time) {
			ev.Tries[16].Host, ev.Tries[16].Target = "check.example", "/idle13/x"
			ev.Arrivals[16].Host, ev.Arrivals[16].Target = "check.example", "/idle13/x"
			ev.Upsets = append(ev.Upsets, &Upset{From: t0.Add(22 * time.Second), Node: "n2", Core: true, What: "cut"})
		}},
		{"CONFIG", "a dropped route that is served on, while a disk of the core is in trouble", func(ev *Evidence, t0 time.Time) {
			ev.Tries[16].Host, ev.Tries[16].Target = "check.example", "/idle13/x"
			ev.Arrivals[16].Host, ev.Arrivals[16].Target = "check.example", "/idle13/x"
			ev.Upsets = append(ev.Upsets, &Upset{From: t0.Add(24 * time.Second), Node: "n2", Core: true, What: "disk"})
		}},
		{"EVAC", "an emptied zone beyond the stretch, while the core is unsettled", func(ev *Evidence, t0 time.Time) {
			ev.Acts = append(ev.Acts, &Act{Kind: "evacuate", Zone: "hall-a", Sent: t0.Add(12 * time.Second), Ended: t0.Add(13 * time.Second), Status: 200})
			ev.Upsets = append(ev.Upsets, &Upset{From: t0.Add(13 * time.Second), Node: "n2", Core: true, What: "freeze"})
		}},
		{"", "a dropped route that is not found", func(ev *Evidence, _ time.Time) {
			ev.Tries[30].Host, ev.Tries[30].Target, ev.Tries[30].Status, ev.Tries[30].Pieces = "check.example", "/idle13/x", 404, nil
			ev.Arrivals = append(ev.Arrivals[:30:30], ev.Arrivals[31:]...)
		}},
		{"CONFIG", "a machine goes back", func(ev *Evidence, t0 time.Time) {
			// Before its time has come, one request saw that the route has gone, the next did not.
			ev.Acts[1].Ended = time.Time{}
			ev.Acts[1].Status = 0
			for i, status := range []int{404, 200} {
				ev.Tries[11+i].Host, ev.Tries[11+i].Target, ev.Tries[11+i].Status = "check.example", "/idle13/x", status
				ev.Arrivals[11+i].Host, ev.Arrivals[11+i].Target = "check.example", "/idle13/x"
			}
			ev.Tries[11].Pieces, ev.Tries[11].Ended = nil, ev.Tries[11].Sent.Add(time.Millisecond)
			ev.Arrivals = append(ev.Arrivals[:11:11], ev.Arrivals[12:]...)
		}},
		{"CONFIG", "an invalid one is taken", func(ev *Evidence, _ time.Time) { ev.Acts[1].Invalid = "no_weight" }},
		{"CONFIG", "two on top of one version", func(ev *Evidence, t0 time.Time) {
			twin := *ev.Acts[1]
			twin.Version = 6
			ev.Acts = append(ev.Acts, &twin)
			ev.Acts[2].Body = marshal(func() Config { c := clone(*twin.Config); c.Version = 6; return c }())
			c := clone(*twin.Config)
			c.Version = 6
			twin.Config = &c
		}},
		{"CONFIG", "an older one comes back", func(ev *Evidence, _ time.Time) { ev.Acts[2].Body = marshal(ev.Acts[0].Config) }},
		{"CONFIG", "another one comes back", func(ev *Evidence, _ time.Time) { ev.Acts[2].Body = []byte(`{"version":5}`) }},
		{"CONFIG", "none comes back", func(ev *Evidence, _ time.Time) { ev.Acts[2].Status = 503 }},
		{"CONFIG", "two on top of one version, one of which the operator did not hear of", func(ev *Evidence, t0 time.Time) {
			c := clone(*ev.Acts[1].Config)
			c.Version = 4
			ev.Acts = append(ev.Acts, &Act{Kind: "put", Sent: t0.Add(19 * time.Second), Unheard: []int{200}, Based: 3, Version: 4, Config: &c})
		}},
		{"CONFIG", "an older one is handed out", func(ev *Evidence, t0 time.Time) {
			ev.Acts = append(ev.Acts, &Act{Kind: "read", Sent: t0.Add(24 * time.Second), Ended: t0.Add(24 * time.Second), Status: 200, Body: marshal(ev.Acts[0].Config), Node: "n1"})
		}},
		{"CONFIG", "one that nobody sent is handed out", func(ev *Evidence, t0 time.Time) {
			ev.Acts = append(ev.Acts, &Act{Kind: "read", Sent: t0.Add(24 * time.Second), Ended: t0.Add(24 * time.Second), Status: 200, Body: []byte(`{"version":4}`), Node: "n1"})
		}},
		{"", "an older one is handed out before its time is over", func(ev *Evidence, t0 time.Time) {
			ev.Acts = append(ev.Acts, &Act{Kind: "read", Sent: t0.Add(22 * time.Second), Ended: t0.Add(22 * time.Second), Status: 200, Body: marshal(ev.Acts[0].Config), Node: "n1"})
		}},
		{"", "an older one is handed out by a machine in trouble", func(ev *Evidence, t0 time.Time) {
			ev.Acts = append(ev.Acts, &Act{Kind: "read", Sent: t0.Add(24 * time.Second), Ended: t0.Add(24 * time.Second), Status: 200, Body: marshal(ev.Acts[0].Config), Node: "n1"})
			ev.Upsets = append(ev.Upsets, &Upset{From: t0.Add(22 * time.Second), Node: "n1", IP: "10.0.0.1", What: "cut"})
		}},
		{"REPEAT", "an acknowledged change is refused when it comes again", func(ev *Evidence, _ time.Time) {
			ev.Acts[1].Status, ev.Acts[1].Unheard = 412, []int{200}
		}},
		{"", "an acknowledged change is acknowledged again", func(ev *Evidence, _ time.Time) { ev.Acts[1].Unheard = []int{200} }},
		{"DENIED", "proper requests are refused for good", func(ev *Evidence, _ time.Time) {
			for _, t := range ev.Tries[:6] {
				t.Status, t.Pieces = 403, nil
			}
			ev.Arrivals = ev.Arrivals[6:]
		}},
		{"", "a few proper requests are refused for good", func(ev *Evidence, _ time.Time) {
			for _, t := range ev.Tries[:5] {
				t.Status, t.Pieces = 403, nil
			}
			ev.Arrivals = ev.Arrivals[5:]
		}},
		{"", "proper requests are refused for good by a machine in trouble", func(ev *Evidence, t0 time.Time) {
			for _, t := range ev.Tries[:6] {
				t.Status, t.Pieces = 403, nil
			}
			ev.Arrivals = ev.Arrivals[6:]
			ev.Upsets = append(ev.Upsets, &Upset{From: t0, To: t0.Add(20 * time.Second), Node: "n1", IP: "10.0.0.1", What: "freeze"})
		}},
		{"MIXED", "a whole body that is cut short", func(ev *Evidence, _ time.Time) {
			t := ev.Tries[1]
			t.Pieces, t.Text = nil, t.Attempt+" "+ev.Arrivals[1].Run+" ww"
		}},
		{"MIXED", "a stream that ends as whole without any event", func(ev *Evidence, _ time.Time) { ev.Tries[1].Pieces = nil }},
		{"DRAIN", "an engine that leaves", func(ev *Evidence, t0 time.Time) {
			ev.Shown = append(ev.Shown, Shown{t0.Add(30 * time.Second), "i-1", "draining"})
			ev.Tries, ev.Arrivals = ev.Tries[:25], ev.Arrivals[:25]
		}},
		{"", "an engine that leaves, from a machine in trouble", func(ev *Evidence, t0 time.Time) {
			ev.Shown = append(ev.Shown, Shown{t0.Add(30 * time.Second), "i-1", "draining"})
			ev.Upsets = append(ev.Upsets, &Upset{From: t0.Add(31 * time.Second), Node: "n1", IP: "10.0.0.1", What: "cut"})
		}},
		{"", "an engine that leaves, to which the ways were cut", func(ev *Evidence, t0 time.Time) {
			ev.Shown = append(ev.Shown, Shown{t0.Add(30 * time.Second), "i-1", "draining"})
			ev.Upsets = append(ev.Upsets, &Upset{From: t0.Add(31 * time.Second), Node: "i-1", What: "engine_cut"})
		}},
		{"LOST", "a request that a planned stop dropped", func(ev *Evidence, t0 time.Time) {
			ev.Upsets = append(ev.Upsets, &Upset{From: t0.Add(29 * time.Second), To: t0.Add(33 * time.Second), Node: "n1", IP: "10.0.0.1", What: "stop", Planned: true})
			ev.Tries[20].Status, ev.Tries[20].Whole, ev.Tries[20].Pieces = 0, false, nil
		}},
		{"LOST", "a request that was sent long after the signal, and cut as the stop ended", func(ev *Evidence, t0 time.Time) { cutByStop(ev, t0, 3100, 7000) }},
		{"LOST", "a request that was cut well before the stop ended", func(ev *Evidence, t0 time.Time) { cutByStop(ev, t0, 1000, 6000) }},
		{"", "a request that was sent soon after the signal, and cut as the stop ended", func(ev *Evidence, t0 time.Time) { cutByStop(ev, t0, 2900, 7000) }},
		{"", "a request that was sent soon after a second signal, and cut as that stop ended", func(ev *Evidence, t0 time.Time) {
			cutByStop(ev, t0, 2900, 7000)
			before := t0.Add(21 * time.Second)
			ev.Upsets = append(ev.Upsets, &Upset{From: before, To: before.Add(2 * time.Second), Node: "n1", IP: "10.0.0.1", What: "stop", Planned: true})
		}},
		{"BUDGET", "further tries", func(ev *Evidence, t0 time.Time) {
			for i := range 80 {
				r := *ev.Arrivals[2]
				r.At, r.Ran, r.Run = r.At.Add(time.Duration(i)*time.Millisecond), time.Time{}, ""
				ev.Arrivals = append(ev.Arrivals, &r)
			}
		}},
		{"ORDER", "a piece is missing", func(ev *Evidence, _ time.Time) { ev.Tries[1].Pieces[1].From = 3 }},
		{"ORDER", "a piece comes twice", func(ev *Evidence, _ time.Time) {
			ev.Tries[1].Pieces = append(ev.Tries[1].Pieces, ev.Tries[1].Pieces[1])
		}},
		{"ORDER", "it ends as whole before its end", func(ev *Evidence, _ time.Time) { ev.Tries[1].Pieces = ev.Tries[1].Pieces[:1] }},
		{"ORDER", "two runs are joined", func(ev *Evidence, _ time.Time) { ev.Tries[2].Pieces[1].Run = "i-2.9" }},
		{"", "a stream is resumed", func(ev *Evidence, _ time.Time) {
			r := *ev.Arrivals[2]
			r.Run, r.Engine, r.Resume, r.At = "i-2.9", "i-2", 1, r.At.Add(time.Millisecond)
			ev.Arrivals = append(ev.Arrivals, &r)
			ev.Tries[2].Pieces[1].Run = "i-2.9"
		}},
		{"FAILBACK", "a cold engine is flooded", func(ev *Evidence, t0 time.Time) {
			for i := range 24 {
				ev.Arrivals[i].At, ev.Arrivals[i].Cold = t0.Add(10*time.Second+time.Duration(i)*time.Millisecond), true
			}
		}},
		{"", "a cold engine gets at once what a cut held up", func(ev *Evidence, t0 time.Time) {
			for i := range 24 {
				r := *ev.Arrivals[2]
				r.At, r.Cold = r.At.Add(time.Duration(i)*time.Millisecond), true
				ev.Arrivals = append(ev.Arrivals, &r)
			}
			ev.Upsets = append(ev.Upsets, &Upset{From: t0.Add(8 * time.Second), To: t0.Add(12 * time.Second), Node: "i-1", What: "engine_cut"})
		}},
		{"EVAC", "an emptied zone", func(ev *Evidence, t0 time.Time) {
			ev.Acts = append(ev.Acts, &Act{Kind: "evacuate", Zone: "hall-a", Sent: t0.Add(12 * time.Second), Ended: t0.Add(13 * time.Second), Status: 200})
		}},
		{"", "an emptied zone, taken back", func(ev *Evidence, t0 time.Time) {
			ev.Acts = append(ev.Acts, &Act{Kind: "evacuate", Zone: "hall-a", Sent: t0.Add(12 * time.Second), Ended: t0.Add(13 * time.Second), Status: 200},
				&Act{Kind: "restore", Zone: "hall-a", Sent: t0.Add(17 * time.Second), Ended: t0.Add(18 * time.Second), Status: 200})
		}},
		{"ACKS", "a proper order without an answer", func(ev *Evidence, _ time.Time) { ev.Acts[1].Ended = ev.Acts[1].Sent.Add(6 * time.Second) }},
		{"", "an order while the core is in trouble", func(ev *Evidence, _ time.Time) {
			ev.Acts[1].Ended = ev.Acts[1].Sent.Add(6 * time.Second)
			ev.Upsets = append(ev.Upsets, &Upset{From: ev.Acts[1].Sent, To: ev.Acts[1].Sent.Add(time.Second), Node: "n2", Core: true, What: "kill"})
		}},
		{"ONE", "two holders, one fence", func(ev *Evidence, t0 time.Time) {
			ev.Orders = []Given{{t0, "i-1", "10.0.0.1", "n1", 4, 202}, {t0.Add(time.Minute), "i-1", "10.0.0.2", "n2", 4, 200}}
		}},
		{"ONE", "a lower fence", func(ev *Evidence, t0 time.Time) {
			ev.Orders = []Given{{t0, "i-1", "10.0.0.1", "n1", 4, 202}, {t0.Add(time.Minute), "i-1", "10.0.0.2", "n2", 3, 200}}
		}},
		{"ONE", "holders by turns", func(ev *Evidence, t0 time.Time) {
			ev.Orders = []Given{{t0, "i-1", "10.0.0.1", "n1", 4, 202}, {t0.Add(time.Second), "i-1", "10.0.0.2", "n2", 5, 202}}
		}},
	}
	for _, p := range planted {
		Convey("the auditor finds: "+p.rule+" "+p.name, t, func() {
			ev, spec, t0 := clean()
			p.plant(ev, t0)
			found := map[string]bool{}
			breaches := Audit(ev, spec)
			for _, b := range breaches {
				found[b.Rule] = true
			}
			if p.rule == "" {
				So(breaches, ShouldBeEmpty)
				return
			}
			So(found[p.rule], ShouldBeTrue)
		})
	}
}
