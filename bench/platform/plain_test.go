package platform

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/lifecycle"
)

// relay is a plain service with fewer slots than the fleet has nodes.
func relay() PlainService {
	return PlainService{Name: "relay", Engines: 1, Slots: 2, Queue: 8, MaxConns: 40, Work: 15}
}

// alarm is a class of requests for it that change something.
func alarm() Class {
	return Class{Name: "alarm", Kind: KindChanging, Service: "relay", PerS: 8, Aim: 120, Deadline: 1000, Retries: 1, Tries: 1, Urgency: 2, Bytes: 600, Worth: 1}
}

// plainDay is a day with a plain service beside the usual one.
func plainDay(name string, span float64, events ...Event) Day {
	d := day(name, 0.4, span, events...)
	d.Plain = []PlainService{relay()}
	d.Classes = append(d.spec().Classes, alarm())
	for i := range d.Classes {
		d.Classes[i].PerS /= d.Load
		if d.Classes[i].Service == "" {
			d.Classes[i].PerS *= 0.3
		}
	}
	return d
}

// TestPlainEngine asks a plain engine of the stand-in: slots, its queue, its health, and
// what it knows nothing of.
func TestPlainEngine(t *testing.T) {
	onScene(t, func(s *Spec) {
		p := relay()
		p.Queue, p.Work = 1, 100
		s.Plain = []PlainService{p}
	}, func(s *scene) {
		e := s.enginesOf("relay")[0]
		statuses := make(chan int, 4)
		group := lifecycle.New(context.Background())
		for i := range 4 {
			group.Start(func(ctx context.Context) {
				lifecycle.Pause(ctx, time.Duration(i)*time.Millisecond)
				status, _ := s.says(e, http.MethodPost, "/x", "b", HeaderAttempt, fmt.Sprintf("%016x", i), HeaderLeft, "900")
				statuses <- status
			})
		}
		group.Wait()
		close(statuses)
		count := map[int]int{}
		for status := range statuses {
			count[status]++
		}
		health, _ := s.says(e, http.MethodGet, "/health", "")
		report, _ := s.says(e, http.MethodGet, "/-/report", "")
		Convey("two run, one waits, one is turned away, and there is no report", t, func() {
			So(count, ShouldResemble, map[int]int{200: 3, 503: 1})
			So(health, ShouldEqual, 200)
			So(report, ShouldEqual, 503)
			So(s.Evidence.Strange, ShouldEqual, 1)
		})
	})
}

// TestPlainDays serves a plain service from fleets of more nodes than it has slots.
func TestPlainDays(t *testing.T) {
	at, s := seconds, seconds
	large := plainDay("plain-large", 12)
	large.Nodes = 5
	for _, d := range []Day{
		plainDay("plain-calm", 12),
		large,
		plainDay("plain-trouble", 24, Event{At: at(2), Kind: "crash", Service: "relay", Count: 1, For: s(4)}, Event{At: at(11), Kind: "release", Service: "relay", Count: 3, Gap: s(1.5)}),
	} {
		res, err := play(t, d, Product)
		Convey(d.Name, t, func() {
			So(err, ShouldBeNil)
			So(res.Breaches, ShouldBeEmpty)
			f := res.Sum["alarm"]
			t.Logf("%s: %+v", d.Name, f)
			So(f.Asked, ShouldBeGreaterThan, 100)
			So(float64(f.InTime)/float64(f.Asked), ShouldBeGreaterThan, 0.95)
			So(res.Evidence.Strange, ShouldEqual, 0)
		})
	}
}
