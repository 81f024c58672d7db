// Package plan says what a desk file or an emptied site would change, before it
// is sent, and what is left after losing a site (docs/operations.md section 11).
package plan

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"

	"linedrum.example/linedrum/desk"
)

// Engine is one engine as the fleet's status shows it.
type Engine struct {
	Name, Pool, Site, State, Role string
	Slots                         int
	Silent                        bool
}

// Report is the whole answer.
type Report struct {
	Changes  []string   `json:"changes"`
	Warnings []string   `json:"warnings"`
	Capacity []Capacity `json:"capacity"`
}

// Capacity of a pool with every site, and without each of them.
type Capacity struct {
	Pool    string `json:"pool"`
	Without string `json:"without,omitempty"`
	Engines int    `json:"engines"`
	Slots   int    `json:"slots"`
	Share   int    `json:"share_percent"` // of what the pool has now
}

// Compare describes the step from one file to another, with the engines and
// emptied sites that there are. A nil old file means that none is in force.
func Compare(old, next *desk.File, engines []Engine, empty map[string]bool) Report {
	r := Report{Changes: []string{}, Warnings: []string{}, Capacity: []Capacity{}}
	was, is := desks(old), desks(next)
	for _, name := range union(was, is) {
		before, had := was[name]
		after, has := is[name]
		switch {
		case !had:
			r.change("desk %s is new, %s", name, standing(after))
		case !has && before.Host == "":
			r.change("desk %s is gone: its callers will hear 404", name)
		case !has:
			r.change("desk %s is gone: its callers %s", name, instead(next, before))
		default:
			r.desk(name, before, after)
			r.place(name, before, after, next)
		}
	}
	waspools, ispools := pools(old), pools(next)
	for _, name := range union(waspools, ispools) {
		before, had := waspools[name]
		after, has := ispools[name]
		switch {
		case !had:
			r.change("pool %s is allowed from now on", name)
		case !has:
			r.change("pool %s gets no more work", name)
		case before != after:
			from, to := differ(before, after)
			r.change("pool %s: from %s to %s", name, from, to)
		}
	}
	r.rules(old, next)
	r.smells(old, next)
	if next != nil {
		for _, p := range next.Pools {
			r.pool(p, engines, empty)
		}
	}
	return r
}

func (r *Report) change(format string, args ...any) {
	r.Changes = append(r.Changes, fmt.Sprintf(format, args...))
}

func (r *Report) warn(format string, args ...any) {
	r.Warnings = append(r.Warnings, fmt.Sprintf(format, args...))
}

func (r *Report) desk(name string, before, after desk.Desk) {
	if from, to := split(before), split(after); from != to {
		r.change("desk %s moves from %s to %s", name, from, to)
	}
	if before.Model != after.Model {
		r.change("desk %s asks engines for %s, not %s", name, after.Model, before.Model)
	}
	was, is := kinds(before), kinds(after)
	for _, kind := range union(was, is) {
		b, had := was[kind]
		a, has := is[kind]
		switch {
		case !had:
			r.change("desk %s: kind %s is new", name, kind)
		case !has:
			r.change("desk %s: kind %s is gone: its callers will hear 400", name, kind)
		case !reflect.DeepEqual(b, a):
			from, to := differ(b, a)
			r.change("desk %s, kind %s: from %s to %s", name, kind, from, to)
			if b.Changing && !a.Changing {
				r.warn("desk %s, kind %s is no longer changing: a request that may have run is repeated", name, kind)
			}
			if b.Once == desk.OnceRequired && a.Once != desk.OnceRequired {
				r.warn("desk %s, kind %s is no longer once-only: a repeated request may run twice", name, kind)
			}
		}
	}
}

// place tells of a desk that moves in or out of a host.
func (r *Report) place(name string, before, after desk.Desk, next *desk.File) {
	from, to := before.Place(), after.Place()
	if from == to {
		return
	}
	switch {
	case from == "":
		r.change("desk %s is chosen by place from now on, at %s: no longer by model or rules", name, to)
	case to == "":
		r.change("desk %s is chosen by model or rules from now on; its callers %s", name, instead(next, before))
	default:
		r.change("desk %s moves to %s; its callers %s", name, to, instead(next, before))
	}
}

// instead says who serves the place that a desk had.
func instead(next *desk.File, before desk.Desk) string {
	if next != nil {
		if d, _, _ := next.Match(desk.Facts{Host: before.Host, Path: before.Prefix}); d.Name != "" {
			return fmt.Sprintf("at %s go to desk %s", before.Place(), d.Name)
		}
	}
	return fmt.Sprintf("at %s will hear 404", before.Place())
}

// rules tells whether requests that name no desk may go elsewhere.
func (r *Report) rules(old, next *desk.File) {
	var before, after []desk.Rule
	if old != nil {
		before = old.Rules
	}
	if next != nil {
		after = next.Rules
	}
	if !slices.Equal(before, after) {
		r.change("rules: from %d to %d, or in other words or order: requests whose model names no desk may go elsewhere", len(before), len(after))
	}
}

// smells warns of what the next file says and hardly means: prefixes that are shadowed
// anew, and limits that do nothing.
func (r *Report) smells(old, next *desk.File) {
	if next == nil {
		return
	}
	had, was, is := map[[2]string]bool{}, desks(old), desks(next)
	if old != nil {
		for _, n := range old.Nested() {
			had[shadow(was, n)] = true
		}
	}
	for _, n := range next.Nested() {
		if both := shadow(is, n); !had[both] {
			r.warn("desk %s at %s takes a part of what desk %s has at %s", n.Inner, both[0], n.Outer, both[1])
		}
	}
	for _, d := range next.Desks {
		for _, k := range d.Kinds {
			if k.Pause > 0 && !k.Streams {
				r.warn("desk %s, kind %s bounds the pauses of a stream and does not stream", d.Name, k.Name)
			}
		}
	}
}

func shadow(by map[string]desk.Desk, n desk.Nested) [2]string {
	inner, outer := by[n.Inner], by[n.Outer]
	return [2]string{inner.Place(), outer.Place()}
}

// standing is where a desk is and where it sends.
func standing(d desk.Desk) string {
	if at := d.Place(); at != "" {
		return "at " + at + ", on " + split(d)
	}
	return "on " + split(d)
}

// split is a desk's pool, or its pools with their parts of its requests.
func split(d desk.Desk) string {
	if len(d.Shares) == 0 {
		return "pool " + d.Pool
	}
	sum, weights := 0.0, map[string]float64{}
	for _, s := range d.Shares {
		sum += s.Weight
		weights[s.Pool] += s.Weight
	}
	parts := []string{}
	for _, pool := range union(weights, nil) {
		if weights[pool] == sum {
			return "pool " + pool
		}
		if weights[pool] > 0 {
			parts = append(parts, fmt.Sprintf("%s %.3g %%", pool, 100*weights[pool]/sum))
		}
	}
	return "shares " + strings.Join(parts, ", ")
}

// differ says what two of one kind have that the other has not, in the words of the file.
func differ(before, after any) (from, to string) {
	was, is := flat(before), flat(after)
	var a, b []string
	for _, key := range union(was, is) {
		if was[key] == is[key] {
			continue
		}
		for _, side := range []struct {
			has map[string]string
			out *[]string
		}{{was, &a}, {is, &b}} {
			if text, has := side.has[key]; has {
				*side.out = append(*side.out, key+" "+text)
			} else {
				*side.out = append(*side.out, "no "+key)
			}
		}
	}
	return strings.Join(a, ", "), strings.Join(b, ", ")
}

// flat is a value by the keys of the file, those of objects within it joined by dots.
func flat(v any) map[string]string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // it came out of a file
	}
	var tree map[string]any
	_ = json.Unmarshal(b, &tree)
	out := map[string]string{}
	var walk func(at string, tree map[string]any)
	walk = func(at string, tree map[string]any) {
		for key, value := range tree {
			if object, ok := value.(map[string]any); ok {
				walk(at+key+".", object)
			} else {
				out[at+key] = fmt.Sprint(value)
			}
		}
	}
	walk("", tree)
	return out
}

func (r *Report) pool(p desk.Pool, engines []Engine, empty map[string]bool) {
	sites := map[string]bool{}
	all := Capacity{Pool: p.Name}
	for _, e := range engines {
		if e.Pool == p.Name && e.State != "leaving" && !e.Silent && !empty[e.Site] {
			sites[e.Site] = true
			all.Engines++
			all.Slots += e.Slots
		}
	}
	all.Share = 100
	r.Capacity = append(r.Capacity, all)
	if all.Engines == 0 {
		r.warn("pool %s has no engine that reports: its desks will bounce", p.Name)
		return
	}
	if !p.Plain && all.Engines < p.MinPrefill+p.MinDecode {
		r.warn("pool %s has %d engines for minima of %d and %d", p.Name, all.Engines, p.MinPrefill, p.MinDecode)
	}
	for _, site := range sorted(sites) {
		left := Capacity{Pool: p.Name, Without: site}
		for _, e := range engines {
			if e.Pool == p.Name && e.State != "leaving" && !e.Silent && !empty[e.Site] && e.Site != site {
				left.Engines++
				left.Slots += e.Slots
			}
		}
		left.Share = 100 * left.Slots / max(all.Slots, 1)
		r.Capacity = append(r.Capacity, left)
		if p.Plain && left.Engines == 0 {
			r.warn("pool %s without site %s has no engine: its desks will bounce", p.Name, site)
		}
		if !p.Plain && left.Engines < 2 {
			r.warn("pool %s without site %s has %d engines: it cannot both read and write", p.Name, site, left.Engines)
		}
	}
}

func desks(f *desk.File) map[string]desk.Desk {
	out := map[string]desk.Desk{}
	if f != nil {
		for _, d := range f.Desks {
			out[d.Name] = d
		}
	}
	return out
}

func pools(f *desk.File) map[string]desk.Pool {
	out := map[string]desk.Pool{}
	if f != nil {
		for _, p := range f.Pools {
			out[p.Name] = p
		}
	}
	return out
}

func kinds(d desk.Desk) map[string]desk.Kind {
	out := map[string]desk.Kind{}
	for _, k := range d.Kinds {
		out[k.Name] = k
	}
	return out
}

func union[T any](a, b map[string]T) []string {
	all := map[string]bool{}
	for name := range a {
		all[name] = true
	}
	for name := range b {
		all[name] = true
	}
	return sorted(all)
}

func sorted(set map[string]bool) []string {
	var out []string
	for name := range set {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
