package desk

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const sound = `{"pools":[{"name":"p"}],"desks":[{"name":"d","pool":"p","kinds":[{"name":"k","expiry":"8s","queue":4}]}]}`

func TestParse(t *testing.T) {
	Convey("a sound file is taken with its defaults", t, func() {
		f, faults := Parse([]byte(sound))
		So(faults, ShouldBeEmpty)
		d, k, err := f.Find("d", "")
		So(err, ShouldBeNil)
		So(d.Model, ShouldEqual, "d")
		So(k.Once, ShouldEqual, OnceNever)
	})
	Convey("every fault is named with its place", t, func() {
		for _, c := range []struct{ from, to, place, reason string }{
			{`"name":"p"`, `"name":"p","nmae":"x"`, "pools[0].nmae", "not a known key"},
			{`"name":"p"`, `"name":"p","name":"q"`, "pools[0].name", "given twice"},
			{`"queue":4`, `"queue":"4"`, "desks[0].kinds[0].queue", "whole number"},
			{`"queue":4`, `"queue":-1`, "desks[0].kinds[0].queue", "at least 0"},
			{`"queue":4`, `"queue":1e300`, "desks[0].kinds[0].queue", "whole number"},
			{`,"queue":4`, ``, "desks[0].kinds[0].queue", "is missing"},
			{`"8s"`, `"8 s"`, "desks[0].kinds[0].expiry", "not a duration"},
			{`"8s"`, `8`, "desks[0].kinds[0].expiry", "must be a duration"},
			{`"8s"`, `"-8s"`, "desks[0].kinds[0].expiry", "at least 50ms"},
			{`"8s"`, `"9000h"`, "desks[0].kinds[0].expiry", "at most 10m"},
			{`"pool":"p"`, `"pool":"q"`, "desks[0].pool", "no pool"},
			{`"name":"d"`, `"name":"D x"`, "desks[0].name", "a-z"},
			{`"queue":4`, `"queue":4,"once":"maybe"`, "desks[0].kinds[0].once", "one of"},
			{`"queue":4`, `"queue":4,"once":"required","streams":true`, "desks[0].kinds[0].streams", "cannot stream"},
			{`[{"name":"p"}]`, `[]`, "pools", "at least 1 long"},
			{`[{"name":"p"}]`, `[{"name":"p"},{"name":"p"}]`, "pools[1].name", "used twice"},
			{`[{"name":"p"}]`, `{"name":"p"}`, "pools", "must be a list"},
			{`[{"name":"p"}]`, `null`, "pools", "must be a list"},
			{sound, sound + "x", "(top)", "behind the end"},
			{sound, sound[:40], "(top)", "ends too early"},
			{sound, `[]`, "(top)", "not a JSON object"},
			{sound, "{\n \"pools\": nonsense}", "line 2", "not JSON"},
			{sound, "", "(top)", "ends too early"},
		} {
			text := strings.Replace(sound, c.from, c.to, 1)
			f, faults := Parse([]byte(text))
			So(f, ShouldBeNil)
			found := false
			for _, fault := range faults {
				found = found || strings.HasPrefix(fault.Place, c.place) && strings.Contains(fault.Reason, c.reason)
			}
			SoMsg(text+" -> "+faults.Error(), found, ShouldBeTrue)
		}
	})
	Convey("all faults of a file come at once", t, func() {
		_, faults := Parse([]byte(`{"pools":[{"x":1}],"desks":[{"name":1,"kinds":[]}],"y":0}`))
		So(len(faults), ShouldBeGreaterThanOrEqualTo, 5)
	})
	Convey("a desk is never found by another's name", t, func() {
		f, _ := Parse([]byte(sound))
		_, _, err := f.Find("e", "")
		So(err, ShouldNotBeNil)
		_, _, err = f.Find("d", "z")
		So(err, ShouldNotBeNil)
	})
	Convey("an apply is remembered by its id, for its time and among the last ones", t, func() {
		s, m, now := Stored{}, NewMemory(24*time.Second), time.Hour
		apply := func(i int, keeper *Memory) {
			keeper.Note(s.Applied, now)
			s = s.Next([]byte("{}"), id(i), uint64(i+1))
			s.Applied = keeper.Prune(s.Applied, now)
		}
		for i := range 3 * KeepApplied {
			apply(i, m)
		}
		So(s.Applied, ShouldHaveLength, 3*KeepApplied)
		serial, had := s.Find(id(0))
		So(had, ShouldBeTrue)
		So(serial, ShouldEqual, 1)
		now += 23 * time.Second
		apply(3*KeepApplied, m)
		So(s.Applied, ShouldHaveLength, 3*KeepApplied+1)
		Convey("a node that has only just come lets nothing go", func() {
			now += time.Minute
			apply(3*KeepApplied+1, NewMemory(24*time.Second))
			So(s.Applied, ShouldHaveLength, 3*KeepApplied+2)
		})
		Convey("an older one is not", func() {
			now += time.Second
			apply(3*KeepApplied+1, m)
			// The last but one of the burst was noted after its apply, at the next.
			So(len(s.Applied), ShouldEqual, KeepApplied)
			_, had := s.Find(id(0))
			So(had, ShouldBeFalse)
		})
		Convey("not more than a value may bear", func() {
			many := make([]Applied, MostApplied+5)
			So(NewMemory(24*time.Second).Prune(many, now), ShouldHaveLength, MostApplied)
		})
	})
	Convey("the memory of a storm is short on the wire", t, func() {
		s := Stored{File: []byte("{}")}
		for i := range 192 { // eight a second for 24 s
			s = s.Next([]byte("{}"), fmt.Sprintf("put-%d-%s", 3*i, Digest([]byte(strconv.Itoa(i)))), uint64(i+1))
		}
		value, err := s.Encode()
		So(err, ShouldBeNil)
		t.Logf("%d bytes", len(value))
		So(len(value), ShouldBeLessThan, 4<<10)
	})
}

func id(i int) string { return fmt.Sprintf("put-%d-x", i) }

const ruled = `{"pools":[{"name":"p"}],
 "rules":[{"when":"user.startsWith('vip') && prompt_chars > 10","desk":"d","kind":"b"},{"when":"model == 'any' && 100 / max_tokens > 5","desk":"e"}],
 "desks":[{"name":"d","pool":"p","kinds":[{"name":"a","expiry":"8s","queue":4,"when":"stream"},{"name":"b","expiry":"8s","queue":4,"when":"!stream"}]},
  {"name":"e","pool":"p","kinds":[{"name":"k","expiry":"8s","queue":4}]}]}`

func TestRules(t *testing.T) {
	f, faults := Parse([]byte(ruled))
	Convey("a model that names a desk is that desk; else the first rule that holds; kinds by their own expressions", t, func() {
		So(faults, ShouldBeEmpty)
		for _, c := range []struct {
			facts      Facts
			desk, kind string
		}{
			{Facts{Model: "d", Stream: true}, "d", "a"},
			{Facts{Model: "d"}, "d", "b"},
			{Facts{Model: "d", Kind: "a"}, "d", "a"},
			{Facts{Model: "e", User: "vip1", PromptChars: 50}, "e", "k"},
			{Facts{Model: "x", User: "vip1", PromptChars: 50}, "d", "b"},
			{Facts{Model: "any", MaxTokens: 3}, "e", "k"},
		} {
			d, k, err := f.Match(c.facts)
			So(err, ShouldBeNil)
			So(d.Name+"/"+k.Name, ShouldEqual, c.desk+"/"+c.kind)
		}
		_, _, err := f.Match(Facts{Model: "x", MaxTokens: 3})
		So(err, ShouldNotBeNil)
		So(errors.Is(err, ErrRule), ShouldBeFalse)
	})
	Convey("a rule that fails at run time is an error of its own, never another desk", t, func() {
		_, _, err := f.Match(Facts{Model: "any", MaxTokens: 0})
		So(errors.Is(err, ErrRule), ShouldBeTrue)
	})
	Convey("an expression that costs too much fails too", t, func() {
		costly := strings.Replace(ruled, "user.startsWith('vip') && prompt_chars > 10", "user.matches('(a|b|c|d)*x') || user.contains('y') || user.contains('z')", 1)
		g, faults := Parse([]byte(costly))
		So(faults, ShouldBeEmpty)
		_, _, err := g.Match(Facts{Model: "x", User: strings.Repeat("abcd", 100_000)})
		So(errors.Is(err, ErrRule), ShouldBeTrue)
	})
	Convey("check faults expressions with their place", t, func() {
		for _, c := range []struct{ from, to, place string }{
			{"prompt_chars > 10", "prompt_chars > 'x'", "rules[0].when"},
			{"prompt_chars > 10", "colour == 1", "rules[0].when"},
			{"user.startsWith('vip') && prompt_chars > 10", "max_tokens", "rules[0].when"},
			{`"kind":"b"}`, `"kind":"z"}`, "rules[0].kind"},
			{`"desk":"e"}`, `"desk":"z"}`, "rules[1].desk"},
			{`"when":"stream"`, `"when":"stream ="`, "desks[0].kinds[0].when"},
		} {
			_, faults := Parse([]byte(strings.Replace(ruled, c.from, c.to, 1)))
			So(len(faults), ShouldBeGreaterThan, 0)
			So(faults[0].Place, ShouldEqual, c.place)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sound))
	f.Add([]byte(`{"pools":[[[[`))
	f.Fuzz(func(t *testing.T, in []byte) {
		file, faults := Parse(in)
		if (file == nil) == (len(faults) == 0) {
			t.Fatalf("neither taken nor faulted: %q", in)
		}
	})
}
