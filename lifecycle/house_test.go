package lifecycle

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/event"
)

// timers are the files that may make timers: what they wait for is looked at first,
// or a fixed share of a bound.
var timers = map[string]bool{"../lifecycle/crew.go": true, "../bench/virtual/net.go": true, "../link/link.go": true}

// TestHouse keeps the rules that a machine can keep: goroutines start in this
// package alone, nothing sleeps, timers are made where they are looked at, no product package starts a process or acts on
// the wall clock.
func TestHouse(t *testing.T) {
	Convey("the whole workspace keeps the house rules", t, func() {
		files := 0
		err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, ".capnp.go") {
				return err
			}
			files++
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, path, nil, 0)
			if err != nil {
				return err
			}
			for _, imp := range file.Imports {
				if imp.Path.Value == `"os/exec"` && !strings.HasPrefix(path, filepath.Join("..", "bench")) {
					SoMsg(path+" starts processes", true, ShouldBeFalse)
				}
			}
			// A wall clock that jumps must have nothing to act on: the product reads it
			// for the deadlines of connections alone, which keep to monotonic time.
			limits := map[ast.Node]bool{}
			product := !strings.HasPrefix(path, filepath.Join("..", "bench")) && !strings.HasSuffix(path, "_test.go")
			ast.Inspect(file, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok {
					if f, ok := call.Fun.(*ast.SelectorExpr); ok && strings.HasPrefix(f.Sel.Name, "Set") && strings.HasSuffix(f.Sel.Name, "Deadline") {
						ast.Inspect(call, func(in ast.Node) bool { limits[in] = true; return true })
					}
				}
				if s, ok := n.(*ast.SelectorExpr); ok && product && s.Sel.Name == "Now" && !limits[n] {
					if pkg, ok := s.X.(*ast.Ident); ok && pkg.Name == "time" {
						SoMsg(set.Position(s.Pos()).String()+" reads the wall clock", true, ShouldBeFalse)
					}
				}
				if g, ok := n.(*ast.GoStmt); ok && filepath.Base(filepath.Dir(path)) != "lifecycle" {
					SoMsg(set.Position(g.Pos()).String()+" starts a goroutine", true, ShouldBeFalse)
				}
				// A timer due at once kills a bubble under the race detector: they are made
				// by Pause and by the network in memory, which look at the time first.
				if s, ok := n.(*ast.SelectorExpr); ok && !timers[filepath.ToSlash(path)] {
					if pkg, ok := s.X.(*ast.Ident); ok && pkg.Name == "time" && (s.Sel.Name == "AfterFunc" || s.Sel.Name == "NewTimer" || s.Sel.Name == "After") {
						SoMsg(set.Position(s.Pos()).String()+" makes a timer", true, ShouldBeFalse)
					}
				}
				if s, ok := n.(*ast.SelectorExpr); ok && s.Sel.Name == "Sleep" {
					SoMsg(set.Position(s.Pos()).String()+" sleeps", true, ShouldBeFalse)
				}
				return true
			})
			return nil
		})
		So(err, ShouldBeNil)
		So(files, ShouldBeGreaterThan, 40)
	})
	Convey("docs/log-events.md lists every event with its words", t, func() {
		b, err := os.ReadFile(filepath.Join("..", "docs", "log-events.md"))
		So(err, ShouldBeNil)
		for number, words := range event.Catalogue {
			So(string(b), ShouldContainSubstring, event.Line(number, words))
		}
	})
}
