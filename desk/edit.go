package desk

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"linedrum.example/linedrum/strict"
)

// Edit changes named items of a file and leaves all others as they are.
type Edit struct {
	Set  Items // an item of a known name is replaced where it stands, a new one comes last
	Drop Names // each must be there
}

// Items are whole items as they stand in a file. Rules without a name cannot be edited.
type Items struct{ Pools, Desks, Rules []json.RawMessage }

// Names are of items, one list a kind.
type Names struct {
	Pools []string `json:"pools"`
	Desks []string `json:"desks"`
	Rules []string `json:"rules"`
}

// ParseEdit reads an edit strictly, but leaves its items to Apply, which checks them
// where they will stand.
func ParseEdit(b []byte) (Edit, strict.Faults) {
	var form struct {
		Set struct {
			Pools []any `json:"pools"`
			Desks []any `json:"desks"`
			Rules []any `json:"rules"`
		} `json:"set"`
		Drop Names `json:"drop"`
	}
	if faults := strict.Load(b, &form); len(faults) > 0 {
		return Edit{}, faults
	}
	raw := func(trees []any) []json.RawMessage {
		out := make([]json.RawMessage, len(trees))
		for i, tree := range trees {
			out[i], _ = json.Marshal(tree) // it came out of JSON a moment ago
		}
		return out
	}
	return Edit{Items{raw(form.Set.Pools), raw(form.Set.Desks), raw(form.Set.Rules)}, form.Drop}, nil
}

// Apply gives the whole file that the edit makes of base, which is a file in force or
// empty. The result is checked like any file; a fault in an item of the edit is placed
// there, and any other in the result.
func (e Edit) Apply(base json.RawMessage) (json.RawMessage, strict.Faults) {
	var faults strict.Faults
	was, parts := &File{}, map[string][]json.RawMessage{}
	if len(base) > 0 {
		if was, faults = Parse(base); len(faults) > 0 {
			return nil, strict.Faults{{Place: "(base)", Reason: "cannot be edited: " + faults[0].String()}}
		}
		parts = strict.Lists(base)
	}
	pools := sheaf{key: "pools", parts: parts["pools"], name: func(i int) string { return was.Pools[i].Name }}
	desks := sheaf{key: "desks", parts: parts["desks"], name: func(i int) string { return was.Desks[i].Name }}
	rules := sheaf{key: "rules", parts: parts["rules"], name: func(i int) string { return was.Rules[i].Name }}
	pools.edit(&faults, e.Set.Pools, e.Drop.Pools)
	desks.edit(&faults, e.Set.Desks, e.Drop.Desks)
	rules.edit(&faults, e.Set.Rules, e.Drop.Rules)
	if len(faults) > 0 {
		return nil, faults
	}
	next := make([]byte, 0, len(base)+1<<10)
	for _, s := range []sheaf{pools, desks, rules} {
		next = s.spell(next)
	}
	next = append(next, '}')
	if _, faults = Parse(next); len(faults) > 0 {
		for i := range faults {
			for _, s := range []sheaf{pools, desks, rules} {
				faults[i].Place = s.place(faults[i].Place)
			}
		}
		return nil, faults
	}
	return next, nil
}

// sheaf is one list of a file while it is edited.
type sheaf struct {
	key   string
	parts []json.RawMessage // as they were
	name  func(i int) string
	next  []json.RawMessage
	from  map[int]int // of next to the edit's items
}

func (s *sheaf) edit(faults *strict.Faults, set []json.RawMessage, drop []string) {
	sets, drops := map[string]int{}, map[string]bool{}
	for i, item := range set {
		at := fmt.Sprintf("set.%s[%d]", s.key, i)
		name, ok := nameOf(item)
		_, twice := sets[name]
		switch {
		case !ok:
			faults.Add(at+".name", "%s", strict.Missing)
		case twice:
			faults.Add(at+".name", "%q is used twice", name)
		}
		sets[name] = i
	}
	for i, name := range drop {
		at := fmt.Sprintf("drop.%s[%d]", s.key, i)
		if _, both := sets[name]; both {
			faults.Add(at, "%q is set by the same edit", name)
		}
		if drops[name] {
			faults.Add(at, "%q is used twice", name)
		}
		drops[name] = true
	}
	s.next, s.from = make([]json.RawMessage, 0, len(s.parts)+len(set)), map[int]int{}
	had := make(map[string]bool, len(s.parts))
	for i, part := range s.parts {
		name := s.name(i)
		if name == "" {
			s.next = append(s.next, part)
			continue
		}
		had[name] = true
		if drops[name] {
			continue
		}
		if at, edited := sets[name]; edited {
			s.from[len(s.next)] = at
			part = set[at]
		}
		s.next = append(s.next, part)
	}
	for i, item := range set {
		if name, _ := nameOf(item); !had[name] {
			s.from[len(s.next)] = i
			s.next = append(s.next, item)
		}
	}
	for i, name := range drop {
		if !had[name] {
			faults.Add(fmt.Sprintf("drop.%s[%d]", s.key, i), "nothing is called %q", name)
		}
	}
}

// spell writes the list into an object that the next sheaf goes on with. Every part
// is known to be JSON: of a file that was parsed, or of an edit that nameOf read.
func (s *sheaf) spell(out []byte) []byte {
	if len(s.next) == 0 && s.key == "rules" {
		return out
	}
	open := byte(',')
	if len(out) == 0 {
		open = '{'
	}
	out = append(append(append(out, open, '"'), s.key...), `":[`...)
	for i, part := range s.next {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, part...)
	}
	return append(out, ']')
}

// place is a fault's place in the edit, where it stands in one of the edit's items.
func (s *sheaf) place(at string) string {
	rest, ok := strings.CutPrefix(at, s.key+"[")
	number, rest, closed := strings.Cut(rest, "]")
	i, err := strconv.Atoi(number)
	from, edited := s.from[i]
	if !ok || !closed || err != nil || !edited {
		return at
	}
	return fmt.Sprintf("set.%s[%d]%s", s.key, from, rest)
}

// nameOf finds the name of an item that nothing has checked yet.
func nameOf(item json.RawMessage) (string, bool) {
	var object map[string]json.RawMessage
	var name string
	ok := json.Unmarshal(item, &object) == nil && len(object["name"]) > 0 && json.Unmarshal(object["name"], &name) == nil
	return name, ok && name != ""
}
