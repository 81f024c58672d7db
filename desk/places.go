package desk

import (
	"slices"
	"strings"
)

// place is where a desk with a host stands. The places of a host are in the order of
// their prefixes, so that all that begin a path are found from the one just before it.
type place struct {
	prefix string
	desk   int // in the file
	within int // the place of the longest shorter prefix that begins this one; negative: none
}

// index makes the maps by which requests find their desks. Of two that bear one name
// or place the first counts; check faults the file.
func (f *File) index() {
	f.desks = make(map[string]int, len(f.Desks))
	f.hosts = map[string][]place{}
	for i := range f.Desks {
		d := &f.Desks[i]
		if _, had := f.desks[d.Name]; !had {
			f.desks[d.Name] = i
		}
		if d.Host != "" {
			host := plainHost(d.Host)
			f.hosts[host] = append(f.hosts[host], place{d.Prefix, i, -1})
		}
	}
	for host, places := range f.hosts {
		slices.SortStableFunc(places, func(a, b place) int { return strings.Compare(a.prefix, b.prefix) })
		places = slices.CompactFunc(places, func(a, b place) bool { return a.prefix == b.prefix })
		f.hosts[host] = places
		for i := 1; i < len(places); i++ {
			at := i - 1
			for at >= 0 && !strings.HasPrefix(places[i].prefix, places[at].prefix) {
				at = places[at].within
			}
			places[i].within = at
		}
	}
}

// at finds the desk of a host whose prefix is the longest that begins the path;
// negative: none. Whatever begins the path is the greatest prefix that is not behind
// it, or begins that one: so it costs one search and a walk up, however many there are.
func (f *File) at(host, path string) int {
	places := f.hosts[plainHost(host)]
	i, same := slices.BinarySearchFunc(places, path, func(p place, path string) int { return strings.Compare(p.prefix, path) })
	if !same {
		i--
	}
	if i < 0 {
		return -1
	}
	common := alike(places[i].prefix, path)
	for i >= 0 && len(places[i].prefix) > common {
		i = places[i].within
	}
	if i < 0 {
		return -1
	}
	return places[i].desk
}

// Nested is a desk whose prefix lies within another's of the same host, and takes
// that part of its paths.
type Nested struct{ Inner, Outer string }

// Nested lists them with the nearest outer desk of each, in the order of the file.
func (f *File) Nested() []Nested {
	outer := map[int]int{}
	for _, places := range f.hosts {
		for _, p := range places {
			if p.within >= 0 {
				outer[p.desk] = places[p.within].desk
			}
		}
	}
	out := make([]Nested, 0, len(outer))
	for i := range f.Desks {
		if at, had := outer[i]; had {
			out = append(out, Nested{f.Desks[i].Name, f.Desks[at].Name})
		}
	}
	return out
}

// Place is where a desk with a host stands, as it is compared; empty: it has none.
func (d *Desk) Place() string {
	if d.Host == "" {
		return ""
	}
	return plainHost(d.Host) + d.Prefix
}

// alike is how many bytes two texts begin with in common.
func alike(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// plainHost is a host as it is compared: in lower case and without a port. Only ASCII
// letters have cases here.
func plainHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && strings.Trim(host[colon+1:], "0123456789") == "" &&
		(strings.IndexByte(host, ':') == colon || host[colon-1] == ']') {
		host = host[:colon]
	}
	for i := range len(host) {
		if host[i] >= 'A' && host[i] <= 'Z' {
			return lowered(host)
		}
	}
	return host
}

func lowered(host string) string {
	b := []byte(host)
	for i, ch := range b {
		if ch >= 'A' && ch <= 'Z' {
			b[i] = ch - 'A' + 'a'
		}
	}
	return string(b)
}

// drawn is the desk with the pool that a draw of 0 to 1 falls in. A share without
// weight is never drawn.
func (d *Desk) drawn(draw float64) Desk {
	out := *d
	if len(d.Shares) == 0 {
		return out
	}
	sum := 0.0
	for _, s := range d.Shares {
		sum += s.Weight
	}
	left := draw * sum
	for _, s := range d.Shares {
		if s.Weight == 0 {
			continue
		}
		out.Pool = s.Pool // the last one with weight, where rounding leaves a rest
		if left < s.Weight {
			break
		}
		left -= s.Weight
	}
	return out
}
