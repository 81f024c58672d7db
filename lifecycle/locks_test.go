package lifecycle

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"sort"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// ranks is the stated order of locks (design.md section 7.2): one may be taken
// only under such of a lower rank.
var ranks = map[string]int{
	"Gate": 1, "Node": 2, "engines": 3,
	"Link": 4, "Log": 4, "Book": 4, "desks": 4, "counters": 4,
}

// kinds are the types of what a name stands for where a method is called on it.
var kinds = map[string]string{
	"gate": "Gate", "n": "Node", "engines": "engines", "link": "Link", "disk": "Log",
	"book": "Book", "desks": "desks", "counters": "counters", "q": "request", "core": "core",
	"fleet": "Node", "path": "Server", "s": "Server", "Control": "Control", "control": "Control", "registers": "Node",
}

// through are calls that the source does not show: the core's ports come back into
// the node, and the gate tries to reserve.
var through = map[string][]string{
	"core.*":    {"Node.adopt", "Link.Frame", "Link.Datagram", "Log.Append", "Log.Barrier"},
	"Gate.pump": {"request.reserve"},
}

// method is what one function does with locks, in the order of its source.
type method struct {
	at    token.Position
	steps []step
}

type step struct{ take, give, call string }

// lockSteps reads all methods of some files.
func lockSteps(set *token.FileSet, files []*ast.File) map[string]method {
	out := map[string]method{}
	for _, file := range files {
		for _, d := range file.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if !ok || fn.Recv == nil || fn.Body == nil {
				continue
			}
			receiver := fn.Recv.List[0]
			owner := strings.TrimPrefix(fmt.Sprint(typeName(receiver.Type)), "*")
			own := ""
			if len(receiver.Names) > 0 {
				own = receiver.Names[0].Name
			}
			kind := func(x ast.Expr) string {
				name := ""
				switch e := x.(type) {
				case *ast.Ident:
					if name = e.Name; name == own {
						return owner
					}
				case *ast.SelectorExpr:
					name = e.Sel.Name
				}
				return kinds[name]
			}
			m := method{at: set.Position(fn.Pos())}
			ast.Inspect(fn.Body, func(node ast.Node) bool {
				switch e := node.(type) {
				case *ast.DeferStmt:
					// Given back at the end: nothing to follow here but its own calls.
					if sel, ok := e.Call.Fun.(*ast.SelectorExpr); ok && sel.Sel.Name == "Unlock" {
						return false
					}
				case *ast.FuncLit:
					return false // what a goroutine runs later is under no lock of ours
				case *ast.CallExpr:
					sel, ok := e.Fun.(*ast.SelectorExpr)
					if !ok {
						return true
					}
					if mu, ok := sel.X.(*ast.SelectorExpr); ok && mu.Sel.Name == "mu" {
						switch sel.Sel.Name {
						case "Lock":
							m.steps = append(m.steps, step{take: kind(mu.X)})
						case "Unlock":
							m.steps = append(m.steps, step{give: kind(mu.X)})
						}
						return true
					}
					if to := kind(sel.X); to != "" {
						m.steps = append(m.steps, step{call: to + "." + sel.Sel.Name})
					} else if inner, ok := sel.X.(*ast.SelectorExpr); ok && kind(inner.X) == "core" {
						m.steps = append(m.steps, step{call: "core.*"})
					}
				}
				return true
			})
			out[owner+"."+fn.Name.Name] = m
		}
	}
	return out
}

func typeName(x ast.Expr) string {
	if star, ok := x.(*ast.StarExpr); ok {
		x = star.X
	}
	if id, ok := x.(*ast.Ident); ok {
		return id.Name
	}
	return ""
}

// disorder lists where a lock is taken under one that is not of a lower rank.
func disorder(methods map[string]method) (out []string) {
	taken := map[string]map[string]bool{}
	var takes func(name string) map[string]bool
	takes = func(name string) map[string]bool {
		if had, ok := taken[name]; ok {
			return had
		}
		all := map[string]bool{}
		taken[name] = all
		for _, s := range methods[name].steps {
			if s.take != "" {
				all[s.take] = true
			}
			if s.call != "" {
				for lock := range takes(s.call) {
					all[lock] = true
				}
			}
		}
		short := name
		if strings.HasPrefix(name, "core.") {
			short = "core.*"
		}
		for _, hidden := range through[short] {
			for lock := range takes(hidden) {
				all[lock] = true
			}
		}
		return all
	}
	for name, m := range methods {
		held := map[string]bool{}
		under := func(lock, what string) {
			for h := range held {
				if ranks[lock] > 0 && ranks[lock] <= ranks[h] {
					out = append(out, fmt.Sprintf("%s: %s takes %s under %s, by %s", m.at, name, lock, h, what))
				}
			}
		}
		for _, s := range m.steps {
			switch {
			case s.take != "":
				under(s.take, "itself")
				held[s.take] = true
			case s.give != "":
				delete(held, s.give)
			default:
				for lock := range takes(s.call) {
					under(lock, s.call)
				}
			}
		}
	}
	sort.Strings(out)
	return out
}

// TestLocks follows every call that is made under a lock, by the source.
func TestLocks(t *testing.T) {
	read := func(sources map[string]any) map[string]method {
		set := token.NewFileSet()
		var files []*ast.File
		for path, source := range sources {
			file, err := parser.ParseFile(set, path, source, 0)
			So(err, ShouldBeNil)
			files = append(files, file)
		}
		return lockSteps(set, files)
	}
	Convey("locks are taken in the stated order, whatever is called under them", t, func() {
		sources := map[string]any{}
		for _, folder := range []string{"admission", "node", "serve", "httpapi", "control", "link", "wal", "explain"} {
			found, _ := filepath.Glob(filepath.Join("..", folder, "*.go"))
			for _, path := range found {
				if !strings.HasSuffix(path, "_test.go") {
					sources[path] = nil
				}
			}
		}
		methods := read(sources)
		taking := 0
		for _, m := range methods {
			for _, s := range m.steps {
				if s.take != "" {
					taking++
				}
			}
		}
		So(taking, ShouldBeGreaterThan, 40)
		So(disorder(methods), ShouldBeEmpty)
	})
	Convey("a lock out of its order is found, in the function itself and behind a call", t, func() {
		planted := read(map[string]any{"planted.go": `package node
func (n *Node) permit() { n.mu.Lock(); defer n.mu.Unlock() }
func (t *engines) direct(n *Node) { t.mu.Lock(); defer t.mu.Unlock(); n.mu.Lock(); n.mu.Unlock() }
func (t *engines) behind(n *Node) { t.mu.Lock(); defer t.mu.Unlock(); n.permit() }
func (n *Node) right() { n.mu.Lock(); n.engines.list(); n.mu.Unlock(); n.permit() }
func (t *engines) list() { t.mu.Lock(); defer t.mu.Unlock() }`})
		So(len(disorder(planted)), ShouldEqual, 2)
	})
}
