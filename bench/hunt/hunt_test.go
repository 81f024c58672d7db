package hunt

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/bench/platform"
	"linedrum.example/linedrum/strict"
)

func number(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// TestHunt plays drawn days: few in the gate, LINEDRUM_SEEDS of them from
// LINEDRUM_FROM on by hand.
func TestHunt(t *testing.T) {
	from, seeds := number("LINEDRUM_FROM", 1), number("LINEDRUM_SEEDS", 6)
	h := Hunt{Repeats: 1}
	if os.Getenv("LINEDRUM_SEEDS") != "" {
		h.Shrinks, h.Progress = 60, os.Stderr
	}
	for seed := range seeds {
		h.Days = append(h.Days, Draw(uint64(from+seed)))
	}
	r := h.Run(t, nil)
	var text bytes.Buffer
	r.Print(&text)
	t.Log(text.String())
	Convey("no drawn day breaks a rule", t, func() {
		So(r.Days, ShouldEqual, seeds)
		So(r.Served, ShouldBeGreaterThan, 0)
		So(r.Findings, ShouldBeEmpty)
	})
}

// TestDraw looks at many drawn days: they are sound as files, they come again by their
// seed, and no two counted machines are lost at once.
func TestDraw(t *testing.T) {
	const seeds = 500
	kinds := map[string]int{}
	var faults, apart []string
	for seed := uint64(1); seed <= seeds; seed++ {
		d := Draw(seed)
		read, faulty := platform.ParseDay(d.File())
		again, _ := json.Marshal(Draw(seed))
		drawn, _ := json.Marshal(d)
		back, _ := json.Marshal(read)
		if len(faulty) > 0 || !bytes.Equal(again, drawn) || !bytes.Equal(back, drawn) {
			faults = append(faults, fmt.Sprintf("seed %d: %v\n%s\n%s", seed, faulty, drawn, back))
		}
		free := time.Duration(0)
		for _, e := range d.Events {
			kinds[e.Kind]++
			if !e.Core {
				continue
			}
			if e.At.D() < free {
				apart = append(apart, fmt.Sprintf("seed %d: %s at %v, before %v", seed, e.Kind, e.At.D(), free))
			}
			free = e.At.D() + e.For.D() + 4*time.Second
		}
		if free > d.Span.D() {
			apart = append(apart, fmt.Sprintf("seed %d: the day ends at %v, before %v", seed, d.Span.D(), free))
		}
	}
	Convey("drawn days are sound, and lose no more than may be lost at once", t, func() {
		So(faults, ShouldBeEmpty)
		So(apart, ShouldBeEmpty)
	})
	Convey("every kind is drawn", t, func() {
		for _, list := range [][]kind{counted, coreless, operator, pool} {
			for _, k := range list {
				SoMsg(k.name, kinds[k.name], ShouldBeGreaterThan, 10)
			}
		}
	})
}

// breaks is a player for which days with all of some kinds break a rule.
func breaks(rule string, kinds ...string) Player {
	return func(d platform.Day) (out Outcome) {
		for _, kind := range kinds {
			if !slices.ContainsFunc(d.Events, func(e platform.Event) bool { return e.Kind == kind }) {
				return out
			}
		}
		out.Breaches = []platform.Breach{{Rule: rule, What: "planted"}}
		return out
	}
}

// planted is a day of many events.
func planted() platform.Day {
	d := Draw(1)
	d.Events = nil
	for _, kind := range []string{"config", "kill", "storm", "race", "burst", "freeze", "cold", "garble"} {
		d.Events = append(d.Events, platform.Event{Kind: kind, Count: 3})
	}
	d.Closing, d.Classes = "kill_all", classes(platform.Desk(1))
	return d
}

// TestShrink shrinks a planted day to what its breach needs.
func TestShrink(t *testing.T) {
	Convey("what the breach does not need goes", t, func() {
		small, plays := Shrink(planted(), []string{"CONFIG"}, 100, breaks("CONFIG", "kill", "cold"))
		So(len(small.Events), ShouldEqual, 2)
		So(small.Events[0].Kind, ShouldEqual, "kill")
		So(small.Events[1].Kind, ShouldEqual, "cold")
		So(small.Events[0].Count, ShouldEqual, 1)
		So(small.Closing, ShouldEqual, "none")
		So(small.Classes, ShouldBeEmpty)
		So(plays, ShouldBeLessThan, 40)
	})
	Convey("another rule that breaks is not followed", t, func() {
		small, _ := Shrink(planted(), []string{"CONFIG"}, 100, breaks("ONE", "kill"))
		So(len(small.Events), ShouldEqual, 8)
	})
	Convey("it ends after so many plays", t, func() {
		_, plays := Shrink(planted(), []string{"CONFIG"}, 5, breaks("CONFIG", "kill", "cold"))
		So(plays, ShouldEqual, 5)
	})
}

// TestReport looks at what a hunt tells, as text and as JSON.
func TestReport(t *testing.T) {
	var progress, text, asJSON bytes.Buffer
	h := Hunt{Days: []platform.Day{planted(), Draw(2)}, Shrinks: 100, Repeats: 2, Progress: &progress}
	log := NewLog(h)
	for _, d := range h.Days {
		out, f := h.One(d, breaks("CONFIG", "kill", "cold", "garble"))
		log.Add(d, out, f)
	}
	r := log.Report()
	r.Print(&text)
	err := r.JSON(&asJSON)
	var back Report
	failed := json.Unmarshal(asJSON.Bytes(), &back)
	Convey("a finding is told with its shrunk day", t, func() {
		So(err, ShouldBeNil)
		So(failed, ShouldBeNil)
		So(back.Days, ShouldEqual, 2)
		So(len(back.Findings), ShouldEqual, 1)
		So(len(back.Findings[0].Shrunk.Events), ShouldEqual, 3)
		So(back.Findings[0].Failed, ShouldEqual, 2)
		So(progress.String(), ShouldContainSubstring, "hunt-1 broke CONFIG and is shrunk")
		So(progress.String(), ShouldContainSubstring, "1/2 hunt-1: 8 events, 0 of 0 served, BROKEN CONFIG")
		So(progress.String(), ShouldContainSubstring, "2/2 hunt-2")
		So(text.String(), ShouldContainSubstring, "seed 1 broke CONFIG; shrunk to 3 of 8 events")
		So(text.String(), ShouldContainSubstring, string(r.Findings[0].Shrunk.File()))
	})
}

// TestPlanted has disks lie about their syncs, and all machines lose power on a day of
// many events: the hunt must find it, and shrink the day to little.
func TestPlanted(t *testing.T) {
	d := planted()
	d.Span, d.Load, d.Closing, d.Classes = strict.Duration(6*time.Second), 0.2, "none", nil
	d.Events = []platform.Event{
		{At: strict.Duration(time.Second), Kind: "cold"},
		{At: strict.Duration(2 * time.Second), Kind: "config", How: "idle"},
		{At: strict.Duration(4 * time.Second), Kind: "herd", How: "all power", For: strict.Duration(time.Second)},
		{At: strict.Duration(5 * time.Second), Kind: "seeds"},
	}
	h := Hunt{Shrinks: 12, Repeats: 1}
	_, found := h.One(d, bubble(t, nil, true))
	out := Bubble(t, nil)(d)
	Convey("lying disks are found, and only they", t, func() {
		So(found, ShouldNotBeNil)
		So(found.Rules, ShouldContain, "CONFIG")
		So(len(found.Shrunk.Events), ShouldBeLessThanOrEqualTo, 2)
		So(found.Failed, ShouldEqual, 1)
		So(out.Breaches, ShouldBeEmpty)
	})
}

// TestRegressions plays the days on which hunts found something, each by itself.
func TestRegressions(t *testing.T) {
	files, err := filepath.Glob("../days/found-*.json")
	if err != nil || len(files) == 0 {
		t.Fatal("no found days", err)
	}
	for _, path := range files {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".json"), func(t *testing.T) {
			text, err := os.ReadFile(path)
			day, faults := platform.ParseDay(text)
			report := Hunt{Days: []platform.Day{day}}.Run(t, nil)
			Convey("what was found once does not come again", t, func() {
				So(err, ShouldBeNil)
				So(faults, ShouldBeEmpty)
				So(report.Findings, ShouldBeEmpty)
			})
		})
	}
}
