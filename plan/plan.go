// Package plan says what a desk file or an emptied site would change, before it
// is sent, and what is left after losing a site (docs/operations.md section 11).
package plan

import (
	"fmt"
	"reflect"
	"sort"

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
			r.change("desk %s is new, on pool %s", name, after.Pool)
		case !has:
			r.change("desk %s is gone: its callers will hear 404", name)
		default:
			r.desk(name, before, after)
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
			r.change("pool %s: from %+v to %+v", name, before, after)
		}
	}
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
	if before.Pool != after.Pool {
		r.change("desk %s moves from pool %s to pool %s", name, before.Pool, after.Pool)
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
			r.change("desk %s, kind %s: from %+v to %+v", name, kind, b, a)
			if b.Once == desk.OnceRequired && a.Once != desk.OnceRequired {
				r.warn("desk %s, kind %s is no longer once-only: a repeated request may run twice", name, kind)
			}
		}
	}
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
	if all.Engines < p.MinPrefill+p.MinDecode {
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
		if left.Engines < 2 {
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
