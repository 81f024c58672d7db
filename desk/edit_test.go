package desk

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// editable has a rule with a name and one without.
var editable = strings.Replace(ruled, `{"when":"user`, `{"name":"vips","when":"user`, 1)

const kindsOfTest = `"kinds":[{"name":"k","expiry":"9s","queue":5}]`

func TestEdit(t *testing.T) {
	edited := func(base, edit string) (string, string) {
		e, faults := ParseEdit([]byte(edit))
		if len(faults) > 0 {
			return "", faults.Error()
		}
		next, faults := e.Apply([]byte(base))
		return string(next), faults.Error()
	}
	Convey("an edit comes to the same as the whole file", t, func() {
		_, faults := edited(editable, `{"set":{"pools":[{"name":"n"}],"desks":[{"name":"f","host":"h","pool":"n",`+kindsOfTest+`},{"name":"d","pool":"n",`+kindsOfTest+`}],
			"rules":[{"name":"late","when":"keyed","desk":"d"}]},"drop":{"pools":["p"],"desks":["e"],"rules":["vips"]}}`)
		So(faults, ShouldContainSubstring, "rules[0].desk") // the rule without a name still sends to e
		next, faults := edited(editable, `{"set":{"pools":[{"name":"n"}],"desks":[{"name":"f","host":"h","pool":"n",`+kindsOfTest+`},{"name":"e","pool":"n",`+kindsOfTest+`}],
			"rules":[{"name":"late","when":"keyed","desk":"e"}]},"drop":{"desks":["d"],"rules":["vips"]}}`)
		So(faults, ShouldBeEmpty)
		So(Digest([]byte(next)), ShouldEqual, Digest([]byte(`{"pools":[{"name":"p"},{"name":"n"}],
			"rules":[{"when":"model == 'any' && 100 / max_tokens > 5","desk":"e"},{"name":"late","when":"keyed","desk":"e"}],
			"desks":[{"name":"e","pool":"n",`+kindsOfTest+`},{"name":"f","host":"h","pool":"n",`+kindsOfTest+`}]}`)))
	})
	Convey("with no file in force an edit must make a whole one", t, func() {
		_, faults := edited("", `{"set":{"pools":[{"name":"p"}]}}`)
		So(faults, ShouldContainSubstring, "desks")
		next, faults := edited("", `{"set":{"pools":[{"name":"p"}],"desks":[{"name":"d","pool":"p","kinds":[{"name":"k","expiry":"8s","queue":4}]}]}}`)
		So(faults, ShouldBeEmpty)
		So(Digest([]byte(next)), ShouldEqual, Digest([]byte(sound)))
	})
	Convey("an edit that changes nothing gives the file's own meaning", t, func() {
		next, faults := edited(editable, `{}`)
		So(faults, ShouldBeEmpty)
		So(Digest([]byte(next)), ShouldEqual, Digest([]byte(editable)))
	})
	Convey("faults are placed in the edit where they stand there", t, func() {
		for _, c := range []struct{ edit, place string }{
			{`{"sett":{}}`, "sett: is not"},
			{`{"set":{"desks":[1]}}`, "set.desks[0].name: is missing"},
			{`{"set":{"desks":[{"pool":"p"}]}}`, "set.desks[0].name: is missing"},
			{`{"set":{"desks":[{"name":"d","name":"e"}]}}`, "set.desks[0].name: given twice"},
			{`{"set":{"pools":[{"name":"n"}],"desks":[{"name":"z","pool":"q",` + kindsOfTest + `}]}}`, "set.desks[0].pool: no pool"},
			{`{"set":{"desks":[{"name":"e","pool":"p","kinds":[{"name":"k","expiry":"9s","queue":5,"x":1}]}]}}`, "set.desks[0].kinds[0].x: is not"},
			{`{"set":{"pools":[{"name":"n"},{"name":"n"}]}}`, "set.pools[1].name: \"n\" is used twice"},
			{`{"set":{"pools":[{"name":"n"}]},"drop":{"pools":["n"]}}`, "drop.pools[0]: \"n\" is set"},
			{`{"drop":{"rules":["vips","vips"]}}`, "drop.rules[1]: \"vips\" is used twice"},
			{`{"drop":{"desks":["z"]}}`, "drop.desks[0]: nothing is called"},
			{`{"drop":{"rules":[""]}}`, "drop.rules[0]: nothing is called"},
			{`{"set":{"rules":[{"name":"vips","when":"1","desk":"d"}]}}`, "set.rules[0].when"},
			{`{"drop":{"pools":["p"]}}`, "pools: must be at least 1 long"},
		} {
			next, faults := edited(editable, c.edit)
			So(next, ShouldBeEmpty)
			So(faults, ShouldContainSubstring, c.place)
		}
	})
	Convey("what cannot be read is not edited", t, func() {
		_, faults := edited(`{"pools":1}`, `{}`)
		So(faults, ShouldStartWith, "(base)")
	})
}

// FuzzEdit: an accepted edit makes a file that is accepted, has what was set and not
// what was dropped, and is the same when the same is set once more.
func FuzzEdit(f *testing.F) {
	f.Add([]byte(editable), []byte(`{"set":{"pools":[{"name":"n"}],"rules":[{"name":"late","when":"keyed","desk":"e"}]},"drop":{"rules":["vips"]}}`))
	f.Add([]byte(sound), []byte(`{"set":{"desks":[{"name":"d","pool":"p",`+kindsOfTest+`},{"name":"<é>","pool":"p"}]}}`))
	f.Add([]byte(placed), []byte(`{"drop":{"desks":["r-deep"]}}`))
	f.Add([]byte(``), []byte(sound))
	f.Fuzz(func(t *testing.T, base, edit []byte) {
		e, faults := ParseEdit(edit)
		if len(faults) > 0 {
			return
		}
		next, faults := e.Apply(base)
		if (next == nil) != (len(faults) > 0) {
			t.Fatalf("neither taken nor faulted: %q on %q", edit, base)
		}
		if next == nil {
			return
		}
		file, faults := Parse(next)
		if len(faults) > 0 {
			t.Fatalf("%q on %q made a file with faults: %v", edit, base, faults)
		}
		for _, name := range e.Drop.Desks {
			if _, had := file.desks[name]; had {
				t.Fatalf("desk %q was dropped and stands", name)
			}
		}
		again, faults := Edit{Set: e.Set}.Apply(next)
		if len(faults) > 0 || Digest(again) != Digest(next) {
			t.Fatalf("%q set twice on %q differs: %v", edit, base, faults)
		}
	})
}

// BenchmarkEdit changes ten desks of three thousand.
func BenchmarkEdit(b *testing.B) {
	base := json.RawMessage(manyPlaces())
	var items []string
	for i := range 10 {
		items = append(items, fmt.Sprintf(`{"name":"r-%d","host":"h.example","prefix":"/n%d/","pool":"p",%s}`, 100*i, i, kindsOfTest))
	}
	text := []byte(`{"set":{"desks":[` + strings.Join(items, ",") + `]},"drop":{"desks":["r-1"]}}`)
	for b.Loop() {
		e, _ := ParseEdit(text)
		if _, faults := e.Apply(base); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}
