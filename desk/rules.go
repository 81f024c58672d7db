package desk

import (
	"fmt"
	"sync"

	"cel.dev/cel-go/cel"
	"github.com/juju/errors"

	"linedrum.example/linedrum/strict"
)

// Rule sends a request whose model names no desk to one, by a CEL expression
// over Facts (docs/desk-files.md). Rules are tried in their order.
type Rule struct {
	Name string `json:"name,omitempty"` // by which edits find it; none: it changes with the whole file only
	When string `json:"when" need:"yes" min:"1" max:"2000"`
	Desk string `json:"desk" need:"yes"`
	Kind string `json:"kind"`
}

// Facts are what expressions may speak of.
type Facts struct {
	Model, Kind, User      string
	PromptChars, MaxTokens int
	Stream, Keyed          bool
	Host, Path             string  // where it was sent; empty where a face does not say
	Draw                   float64 // 0 to below 1, fixed for one request: which share of a desk it falls in
}

// ErrRule is an expression that failed at run time. Its request is bounced, and
// never goes to another desk or pool instead.
const ErrRule = errors.ConstError("a rule of the desk file failed")

// ruleCost bounds what one expression may cost to evaluate.
const ruleCost = 10_000

var facts = []cel.EnvOption{
	cel.Variable("model", cel.StringType), cel.Variable("kind", cel.StringType), cel.Variable("user", cel.StringType),
	cel.Variable("prompt_chars", cel.IntType), cel.Variable("max_tokens", cel.IntType),
	cel.Variable("stream", cel.BoolType), cel.Variable("keyed", cel.BoolType),
}

// compile checks the types of an expression and bounds its cost.
func compile(env *cel.Env, when string) (cel.Program, error) {
	ast, issues := env.Compile(when)
	if issues.Err() != nil {
		return nil, issues.Err()
	}
	if ast.OutputType() != cel.BoolType {
		return nil, fmt.Errorf("the expression must be true or false, not %s", ast.OutputType())
	}
	return env.Program(ast, cel.CostLimit(ruleCost))
}

// compileRules fills the programs of a file's expressions, and faults what does not
// compile. A file without expressions makes no environment, and one expression that
// many kinds share is compiled once.
func (f *File) compileRules(faults *strict.Faults) {
	f.programs = map[string]cel.Program{}
	env := sync.OnceValues(func() (*cel.Env, error) { return cel.NewEnv(facts...) })
	failed := map[string]error{}
	take := func(when string, at func() string) {
		if _, had := f.programs[when]; had {
			return
		}
		err, had := failed[when]
		if !had {
			var program cel.Program
			var made *cel.Env
			if made, err = env(); err == nil {
				program, err = compile(made, when)
			}
			if err == nil {
				f.programs[when] = program
				return
			}
			failed[when] = err
		}
		faults.Add(at(), "%v", err)
	}
	for i, r := range f.Rules {
		at := fmt.Sprintf("rules[%d]", i)
		take(r.When, func() string { return at + ".when" })
		f.checkTarget(faults, at, r)
	}
	for i := range f.Desks {
		for j := range f.Desks[i].Kinds {
			if when := f.Desks[i].Kinds[j].When; when != "" {
				take(when, func() string { return fmt.Sprintf("desks[%d].kinds[%d].when", i, j) })
			}
		}
	}
}

// checkTarget faults a rule whose desk or kind is not there, or is not a rule's to choose.
func (f *File) checkTarget(faults *strict.Faults, at string, r Rule) {
	i, had := f.desks[r.Desk]
	_, _, err := f.Find(r.Desk, r.Kind)
	switch {
	case !had:
		faults.Add(at+".desk", "%v", err)
	case f.Desks[i].Host != "":
		faults.Add(at+".desk", "desk %q has a host, so that no rule can choose it", r.Desk)
	case err != nil && r.Kind != "":
		faults.Add(at+".kind", "%v", err)
	}
}

func (f *File) holds(when string, facts Facts) (bool, error) {
	out, _, err := f.programs[when].Eval(map[string]any{
		"model": facts.Model, "kind": facts.Kind, "user": facts.User, "prompt_chars": int64(facts.PromptChars),
		"max_tokens": int64(facts.MaxTokens), "stream": facts.Stream, "keyed": facts.Keyed,
	})
	if err != nil {
		return false, errors.WithType(errors.Annotatef(err, "rule %q", when), ErrRule)
	}
	yes, ok := out.Value().(bool)
	if !ok {
		return false, errors.Annotatef(ErrRule, "rule %q", when)
	}
	return yes, nil
}

// Match finds the desk and the kind of a request. With a host, the desk is the one of
// that host whose prefix is the longest that begins the path, and there is no other
// way to a desk. Without one, it is the desk that the model names, or that of the
// first rule that holds. The kind is the one that the request names, or the rule's, or
// the first one of the desk whose own expression holds, or the desk's only one. Of a
// desk with shares, the pool is the one that Draw falls in.
func (f *File) Match(facts Facts) (Desk, Kind, error) {
	chosen, kind := -1, facts.Kind
	if facts.Host != "" {
		chosen = f.at(facts.Host, facts.Path)
		if chosen < 0 {
			return Desk{}, Kind{}, fmt.Errorf("no desk is at host %q for path %q", facts.Host, facts.Path)
		}
	} else {
		var err error
		if chosen, kind, err = f.byModel(facts); err != nil {
			return Desk{}, Kind{}, err
		}
		if chosen < 0 {
			return Desk{}, Kind{}, fmt.Errorf("no desk is called %q", facts.Model)
		}
	}
	d := &f.Desks[chosen]
	if kind == "" {
		for _, k := range d.Kinds {
			if k.When == "" {
				continue
			}
			yes, err := f.holds(k.When, facts)
			if err != nil {
				return Desk{}, Kind{}, err
			}
			if yes {
				return d.drawn(facts.Draw), k, nil
			}
		}
	}
	found, k, err := d.find(kind)
	if err != nil {
		return found, k, err
	}
	return d.drawn(facts.Draw), k, nil
}

// byModel finds a desk without a host; negative: none.
func (f *File) byModel(facts Facts) (int, string, error) {
	if i, had := f.desks[facts.Model]; had && f.Desks[i].Host == "" {
		return i, facts.Kind, nil
	}
	for _, r := range f.Rules {
		yes, err := f.holds(r.When, facts)
		if err != nil {
			return -1, "", err
		}
		if yes {
			kind := facts.Kind
			if kind == "" {
				kind = r.Kind
			}
			return f.desks[r.Desk], kind, nil
		}
	}
	return -1, "", nil
}
