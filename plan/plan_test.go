package plan

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/desk"
)

func TestCompare(t *testing.T) {
	text := `{"pools":[{"name":"p"},{"name":"q"}],"desks":[{"name":"d","pool":"p","kinds":[{"name":"k","expiry":"8s","queue":4,"once":"required"}]}]}`
	old, faults := desk.Parse([]byte(text))
	engines := []Engine{
		{Name: "a", Pool: "p", Site: "n", Slots: 8}, {Name: "b", Pool: "p", Site: "n", Slots: 8},
		{Name: "c", Pool: "p", Site: "s", Slots: 16}, {Name: "gone", Pool: "p", Site: "s", Slots: 16, State: "leaving"},
	}
	Convey("what changes, what is risky, and what is left without each site", t, func() {
		So(faults, ShouldBeEmpty)
		next, faults := desk.Parse([]byte(strings.NewReplacer(`"required"`, `"never"`, `{"name":"q"}`, `{"name":"r"}`).Replace(text)))
		So(faults, ShouldBeEmpty)
		r := Compare(old, next, engines, nil)
		all := strings.Join(append(r.Changes, r.Warnings...), "\n")
		for _, part := range []string{"pool q gets no more work", "pool r is allowed", "kind k: from", "no longer once-only", "pool r has no engine", "without site n has 1 engines"} {
			So(all, ShouldContainSubstring, part)
		}
		So(r.Capacity, ShouldContain, Capacity{Pool: "p", Engines: 3, Slots: 32, Share: 100})
		So(r.Capacity, ShouldContain, Capacity{Pool: "p", Without: "s", Engines: 2, Slots: 16, Share: 50})
	})
	Convey("the same file changes nothing; an emptied site shows in the capacity", t, func() {
		r := Compare(old, old, engines, map[string]bool{"s": true})
		So(r.Changes, ShouldBeEmpty)
		So(r.Capacity, ShouldContain, Capacity{Pool: "p", Engines: 2, Slots: 16, Share: 100})
	})
	Convey("a plain pool bears the loss of a site while one engine is left, and needs no two roles", t, func() {
		file, faults := desk.Parse([]byte(strings.NewReplacer(`{"name":"p"}`, `{"name":"p","plain":true}`).Replace(text)))
		So(faults, ShouldBeEmpty)
		two := []Engine{{Name: "a", Pool: "p", Site: "n", Slots: 6}, {Name: "b", Pool: "p", Site: "s", Slots: 6}}
		So(strings.Join(Compare(file, file, two, nil).Warnings, "\n"), ShouldNotContainSubstring, "pool p")
		So(strings.Join(Compare(file, file, two[:1], nil).Warnings, "\n"), ShouldContainSubstring, "pool p without site n has no engine")
		So(strings.Join(Compare(old, old, two, nil).Warnings, "\n"), ShouldContainSubstring, "cannot both read and write")
	})
}
