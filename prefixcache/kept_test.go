package prefixcache

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/engine"
)

func parts(text string) []engine.Part {
	var out []engine.Part
	for _, c := range text {
		out = append(out, engine.Part{ID: string(c), Tokens: 100})
	}
	return out
}

func TestBook(t *testing.T) {
	Convey("only what stands behind kept parts counts as kept", t, func() {
		b := New()
		b.Note("e", "1", parts("abc"), 0)
		for chain, want := range map[string]int{"abc": 300, "abd": 200, "ax": 100, "b": 0, "bc": 0, "cab": 0, "": 0} {
			So(b.Tokens("e", "1", parts(chain)), ShouldEqual, want)
		}
		So(b.Tokens("f", "1", parts("abc")), ShouldEqual, 0)
	})
	Convey("a new life of an engine keeps nothing of the former one", t, func() {
		b := New()
		b.Note("e", "1", parts("abc"), 0)
		So(b.Tokens("e", "2", parts("abc")), ShouldEqual, 0)
		b.Note("e", "2", parts("a"), 0)
		So(b.Tokens("e", "2", parts("abc")), ShouldEqual, 100)
		So(b.Tokens("e", "1", parts("abc")), ShouldEqual, 0)
	})
	Convey("what was used longest ago gives way first, and a chain's end before its beginning", t, func() {
		b := New()
		b.Note("e", "1", parts("abx"), 600)
		b.Note("e", "1", parts("cdy"), 600)
		b.Note("e", "1", parts("abz"), 600) // the oldest is x
		So(b.Tokens("e", "1", parts("abx")), ShouldEqual, 200)
		So(b.Tokens("e", "1", parts("cdy")), ShouldEqual, 300)
		b.Note("e", "1", parts("ef"), 600) // then y and d
		So(b.Tokens("e", "1", parts("cdy")), ShouldEqual, 100)
		So(b.Tokens("e", "1", parts("abz")), ShouldEqual, 300)
		So(b.Tokens("e", "1", parts("ef")), ShouldEqual, 200)
	})
	Convey("it is bounded, and engines that are gone are dropped", t, func() {
		b := New()
		for i := range 3 * maxParts {
			b.Note("e", "1", []engine.Part{{ID: fmt.Sprint(i)}}, 0)
		}
		So(len(b.engines["e"].parts), ShouldEqual, maxParts)
		So(b.engines["e"].order.Len(), ShouldEqual, maxParts)
		b.Note("f", "1", parts("a"), 0)
		b.Retain(func(server string) bool { return server == "f" })
		So(b.engines, ShouldHaveLength, 1)
		b.Forget("f")
		So(b.engines, ShouldBeEmpty)
	})
}
