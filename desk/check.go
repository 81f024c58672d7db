package desk

import (
	"fmt"
	"strings"

	"linedrum.example/linedrum/strict"
)

// check faults what a single field cannot show. Places are put together only for faults.
func (f *File) check(faults *strict.Faults) {
	pools := make(map[string]bool, len(f.Pools))
	for i, p := range f.Pools {
		at := func(key string) string { return fmt.Sprintf("pools[%d].%s", i, key) }
		checkName(faults, pools, at, p.Name)
		if p.Plain && p.roles() {
			faults.Add(at("plain"), "stands beside what engines with roles have: min_prefill, min_decode, or the engine's memory, link, hold or switch")
		}
		if p.Health != "" && !(strings.HasPrefix(p.Health, "/") && plainPath(p.Health)) {
			faults.Add(at("health"), "%q must be a path: it begins with / and holds no blanks", p.Health)
		}
	}
	names := make(map[string]bool, len(f.Desks))
	places := map[string]map[string]bool{}
	kinds := map[string]bool{}
	for i := range f.Desks {
		d := &f.Desks[i]
		at := func(key string) string { return fmt.Sprintf("desks[%d].%s", i, key) }
		checkName(faults, names, at, d.Name)
		d.checkPools(faults, at, pools)
		d.checkPlace(faults, at, places)
		clear(kinds)
		for j := range d.Kinds {
			at := func(key string) string { return fmt.Sprintf("desks[%d].kinds[%d].%s", i, j, key) }
			checkName(faults, kinds, at, d.Kinds[j].Name)
			d.Kinds[j].check(faults, at)
		}
	}
	rules := map[string]bool{}
	for i, r := range f.Rules {
		if r.Name != "" {
			checkName(faults, rules, func(key string) string { return fmt.Sprintf("rules[%d].%s", i, key) }, r.Name)
		}
	}
}

// roles tells whether a pool says something that only engines with roles have.
func (p Pool) roles() bool {
	e := p.Engine
	return p.MinPrefill > 1 || p.MinDecode > 1 || e.MemoryTokens > 0 || e.TokenBytes > 0 || e.LinkMbps > 0 || e.Hold > 0 || e.Switch > 0
}

func (d *Desk) checkPools(faults *strict.Faults, at func(string) string, pools map[string]bool) {
	const unknown = "no pool of this file is called %q"
	switch {
	case d.Pool != "" && len(d.Shares) > 0:
		faults.Add(at("shares"), "stands beside a pool: give one of them")
	case len(d.Shares) == 0 && d.Pool == "":
		faults.Add(at("pool"), "is missing, and there are no shares")
	case len(d.Shares) == 0 && !pools[d.Pool]:
		faults.Add(at("pool"), unknown, d.Pool)
	}
	sum := 0.0
	for i, s := range d.Shares {
		sum += s.Weight
		if !pools[s.Pool] {
			faults.Add(at(fmt.Sprintf("shares[%d].pool", i)), unknown, s.Pool)
		}
	}
	if len(d.Shares) > 0 && sum <= 0 {
		faults.Add(at("shares"), "have no weight")
	}
}

// checkPlace faults a host or prefix that no request can have, and a place that is
// given to two desks.
func (d *Desk) checkPlace(faults *strict.Faults, at func(string) string, places map[string]map[string]bool) {
	if d.Host == "" {
		if d.Prefix != "" {
			faults.Add(at("prefix"), "needs a host")
		}
		return
	}
	host := plainHost(d.Host)
	if host == "" || strings.ContainsAny(host, "/@") || !plainPath(host) {
		faults.Add(at("host"), "%q is not a host", d.Host)
	}
	if d.Prefix[0] != '/' || d.Prefix[len(d.Prefix)-1] != '/' || !plainPath(d.Prefix) {
		faults.Add(at("prefix"), "%q must begin and end with / and hold no blanks, ? or #", d.Prefix)
	}
	if places[host] == nil {
		places[host] = map[string]bool{}
	}
	if places[host][d.Prefix] {
		faults.Add(at("prefix"), "%q of host %q is used twice", d.Prefix, host)
	}
	places[host][d.Prefix] = true
}

func (k *Kind) check(faults *strict.Faults, at func(string) string) {
	if k.Once == OnceRequired && k.Streams {
		faults.Add(at("streams"), "a once-only kind cannot stream, since its reply is kept whole for repeats")
	}
	if k.Changing && k.Once != OnceNever {
		faults.Add(at("changing"), "a kind with once-only keys is repeated by its keys: it is one or the other")
	}
	if k.Resume && !k.Streams {
		faults.Add(at("resume"), "only a stream can be resumed")
	}
	if k.Resume && k.Changing {
		faults.Add(at("resume"), "runs a request again, which a changing kind forbids")
	}
	if k.Aim > k.Expiry {
		faults.Add(at("aim"), "%v is beyond the expiry of %v", k.Aim.D(), k.Expiry.D())
	}
}

// plainPath tells whether a text can stand in a request's line as it is.
func plainPath(text string) bool {
	for i := range len(text) {
		if ch := text[i]; ch <= ' ' || ch == 0x7f || ch == '?' || ch == '#' {
			return false
		}
	}
	return true
}

// longestName is the most letters of a name.
const longestName = 63

// plainName tells whether pools, desks, kinds and rules may be called so.
func plainName(name string) bool {
	if len(name) == 0 || len(name) > longestName {
		return false
	}
	for i := range len(name) {
		ch := name[i]
		letter := ch >= 'a' && ch <= 'z' || ch >= '0' && ch <= '9'
		if !letter && (i == 0 || ch != '.' && ch != '_' && ch != '-') {
			return false
		}
	}
	return true
}

func checkName(faults *strict.Faults, had map[string]bool, at func(string) string, name string) {
	if !plainName(name) {
		faults.Add(at("name"), "%q must be 1 to %d of a-z 0-9 . _ - and start with a letter or digit", name, longestName)
	}
	if had[name] {
		faults.Add(at("name"), "%q is used twice", name)
	}
	had[name] = true
}
