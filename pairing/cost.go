package pairing

import (
	"math"
	"sort"
	"time"

	"linedrum.example/linedrum/engine"
)

// The cost of a nomination is in milliseconds until the first piece, with what else
// it costs turned into the same (section 5.4). The figures are those of the engines
// that the product was tuned for: a token of a prompt takes 1/57 ms, and twice that
// where the engine writes beside it, in pieces of 1024.
const (
	readMS    = 1 / 57.0      // a token read by an engine that only reads
	directMS  = 2 / 57.0      // and by one that writes beside it
	pairMS    = 0.15 / 1e6    // a token read, for each token before it
	stepMS    = 4.0           // of an engine at some load
	pieceMS   = stepMS / 1024 // the steps of others between pieces, a token
	runningMS = 1.1           // each request that runs there: 0.1 ms a step, 11 steps to a piece
	meanRead  = 1600          // tokens that a request has left to read, where nothing is known of it
	oldReport = 0.25          // of what a report counts, beside backlogs that are told
	setupMS   = 3.5           // of a hand-over
	secondMS  = 1.0           // a second go, and its way
	restMS    = 1000.0        // an engine that failed a go a moment ago
	leanNodes = 8.0           // of so many nodes one may have begun a go that is not known of
	mbps      = 1.0 / 125     // ms that a byte takes at 1 Mbit/s

	// Prices: a reply that is late loses about 2 of its worth, by about 400 ms.
	worthMS  = 200.0
	againMS  = 0.15 / 1000 * worthMS // a shared token that is read again
	movedMS  = 0.36 / 1e9 * worthMS  // a byte of memory that is moved; three times that between sites
	siteGo   = 3.0                   // a go to another site, at a site cost of 1
	siteMS   = 3.0 / 1000            // and for each token of its prompt
	lateFrom = 0.7                   // of the aim: what is nominated to come later may well be late
	haltFrom = 0.1                   // of the pause: so long may a writer read without harm
	haltMS   = 30.0                  // for each ms beyond that
	lateMS   = 3.0                   // for each ms beyond that
)

// The same in parts of a full engine, for requests of which no size is known.
const (
	fullMS      = 100.0 // waiting at an engine as full as its slots
	prefixGain  = 0.6   // reading a shared prefix where it was read before
	callerShare = 0.1   // the prompt's bytes against the memory's, between sites
	prefixHomes = 2     // readers that keep one prefix
	restCost    = 4.0   // an engine that failed a go a moment ago
)

// tokens of the prompt, by the count or else by its parts.
func (v View) tokens() int {
	if v.Tokens > 0 {
		return v.Tokens
	}
	n := 0
	for _, p := range v.Parts {
		n += p.Tokens
	}
	return n
}

// shared is how many tokens stand in parts that other prompts may share: the last
// part is the request's own.
func (v View) shared() int {
	n := 0
	for _, p := range v.Parts[:max(len(v.Parts)-1, 0)] {
		n += p.Tokens
	}
	return n
}

// homeParts of the chain say where its home is.
const homeParts = 2

// chain names what prompts of one home have in common; empty where nothing is shared.
func (v View) chain() string {
	key := ""
	for _, p := range v.Parts[:min(max(len(v.Parts)-1, 0), homeParts)] {
		key += p.ID + "\x00"
	}
	return key
}

func (v View) slots(s Server) int {
	for _, n := range []int{s.Load.Slots, s.Slots, v.Engine.Slots} {
		if n > 0 {
			return n
		}
	}
	return 1
}

// cost is one view's prices.
type cost struct {
	v      View
	sized  bool
	tokens int
	shared int
	most   int     // of the tokens, what some engine keeps
	bytes  float64 // of the prompt's memory
	pace   float64 // of reading
	homes  map[string]bool
}

func (v View) cost(servers []Server) *cost {
	c := &cost{v: v, tokens: v.tokens(), shared: v.shared(), homes: v.homes(servers), pace: v.Pace}
	if c.pace <= 0 {
		c.pace = 1
	}
	c.sized = c.tokens > 0
	for _, s := range servers {
		if s.Pool == v.Pool {
			c.most = max(c.most, s.Kept)
		}
	}
	c.bytes = float64(c.tokens) * float64(v.Engine.TokenBytes)
	return c
}

// unread tokens at an engine. A home is taken to keep the shared parts, since every
// node sends them there: if it does not yet, it will by this very go.
func (c *cost) unread(s Server) int {
	kept := s.Kept
	if c.homes[s.Name] && !c.v.Told {
		kept = max(kept, c.shared)
	}
	return max(c.tokens-kept, 0)
}

// again is the price of shared tokens that an engine reads although others did.
func (c *cost) again(s Server) float64 {
	if c.v.Told {
		// What no engine is known to keep is to be read by one of them: where all nodes
		// would have it, since those that were there before a restart had it there too.
		if c.most < c.shared && c.homes[s.Name] {
			return 0
		}
		if c.most < c.shared && len(c.homes) > 0 {
			return float64(max(c.shared-s.Kept, 0)) * againMS
		}
		return float64(max(min(c.shared, c.most)-s.Kept, 0)) * againMS
	}
	if c.homes[s.Name] {
		return 0
	}
	return float64(max(c.shared-s.Kept, 0)) * againMS
}

// fraction of an engine that is taken, and more while it rests.
func (c *cost) fraction(s Server) float64 {
	load := float64(max(s.Load.Running+s.Load.Waiting+s.Since, s.Inflight)) / float64(c.v.slots(s))
	if s.Resting {
		// Any other engine first; but where it is the only one, it is used.
		load += restCost
	}
	return load
}

// reading is what a reader comes to: the wait there, and the read.
func (c *cost) reading(s Server) (ms, price float64) {
	if !c.sized {
		price = c.fraction(s) * fullMS
		if c.homes[s.Name] {
			price -= prefixGain * fullMS
		}
		if s.Site != c.v.Site {
			price += c.v.SiteCost * callerShare * fullMS
		}
		return 0, price
	}
	ms = c.before(s, s.Load.Running+s.Load.Waiting, readMS) + c.read(s)*readMS*c.pace + c.pairs(s)
	return ms, c.again(s) + c.across(s) + c.rest(s) + c.lean(s)
}

// before is how long an engine reads on what came before: its backlog, or else a guess
// by the count of goes. A report is the older word where backlogs are told, and only
// counts where it says much more.
func (c *cost) before(s Server, reported int, pace float64) float64 {
	backlog := float64(s.Backlog) / float64(time.Millisecond)
	guess := float64(max(s.Inflight, reported+min(s.Since, 0))) * meanRead * pace * c.pace
	if c.v.Told {
		guess *= oldReport
	}
	return max(backlog, guess)
}

func (c *cost) read(s Server) float64 { return float64(c.unread(s)) }

// pairs is what a token's look at all those before it comes to.
func (c *cost) pairs(s Server) float64 {
	n := c.read(s)
	return n * (float64(c.tokens) - n/2) * pairMS * c.pace
}

// waiting is what a writer's load comes to before a first piece.
func (c *cost) waiting(s Server) float64 {
	if !c.sized {
		return c.fraction(s) * fullMS
	}
	running := float64(max(s.Load.Running+s.Since, s.Inflight)) * runningMS
	return running + c.before(Server{Backlog: s.Backlog}, s.Load.Waiting, directMS)
}

// direct is what a writer comes to that reads by itself.
func (c *cost) direct(s Server) (ms, price float64) {
	read := c.read(s)*(directMS+pieceMS)*c.pace + c.pairs(s)
	return c.waiting(s) + read, c.again(s) + c.across(s) + c.rest(s) + c.halted(s, read) + c.lean(s)
}

// halted is what it costs that the streams of a writer stand still while it reads: a
// pause that comes near the longest one that is in time makes all of them late.
func (c *cost) halted(s Server, read float64) float64 {
	pause := float64(c.v.Pause.Milliseconds())
	if pause == 0 {
		return 0
	}
	over := float64(s.Backlog.Milliseconds()) + read - haltFrom*pause
	return haltMS * max(over, 0)
}

// handOver is what it comes to that a writer fetches memory from a reader, but for what the
// writer comes to whoever read.
func (c *cost) handOver(reader, w Server) (ms, price float64) {
	slow := c.v.slow(reader.Name, w.Name) * fullMS
	if !c.sized {
		price = slow
		if w.Site != reader.Site {
			price += c.v.SiteCost * fullMS
		}
		return 0, price
	}
	move, gb := setupMS, c.bytes*movedMS
	if c.v.Engine.LinkMbps > 0 {
		move += c.bytes * mbps / c.v.Engine.LinkMbps
	}
	if w.Site != reader.Site {
		move, gb = 2*move, 3*gb
	}
	return secondMS + move + slow, gb
}

// candidate is a writer with what it comes to whoever reads, worked out once: there are many
// readers to weigh it with.
type candidate struct {
	Server
	ms, price float64
}

func (c *cost) candidate(w Server) candidate {
	waiting := c.waiting(w)
	if !c.sized {
		return candidate{w, 0, waiting}
	}
	return candidate{w, waiting, c.across(w) + c.rest(w) + c.lean(w)}
}

func (c *cost) candidates(writers []Server) []candidate {
	out := make([]candidate, len(writers))
	for i, w := range writers {
		out[i] = c.candidate(w)
	}
	return out
}

func (c *cost) across(s Server) float64 {
	if s.Site == c.v.Site {
		return 0
	}
	return c.v.SiteCost * (siteGo + siteMS*float64(c.tokens))
}

// lean is this node's own leaning among engines that are alike. Each node hears of an
// engine only beside its own goes there, so in a large fleet all would send to the
// same one until they heard; the more nodes there are, the more of them may have begun
// a go there since it spoke (section 5.4).
func (c *cost) lean(s Server) float64 {
	if c.v.Self == "" || c.v.Nodes < 2 {
		return 0
	}
	return c.v.preference(s) * float64(c.v.Nodes) / leanNodes * runningMS
}

// preference is this node's own of an engine among those that are alike, from 0 to 1: the
// lowest is preferred.
func (v View) preference(s Server) float64 {
	return float64(hash(v.Self+"\x00"+s.Name)>>11) / (1 << 53)
}

func (c *cost) rest(s Server) float64 {
	if s.Resting {
		return restMS
	}
	return 0
}

// sum joins time and price; time beyond the aim weighs more.
func (c *cost) sum(ms, price float64) float64 {
	if c.v.Aim > 0 {
		ms += lateMS * max(0, ms-lateFrom*float64(c.v.Aim.Milliseconds()))
	}
	return ms + price
}

// homes ranks engines for a prompt alike on every node, by highest random weight,
// so that the fleet agrees where shared parts are kept without a word.
//
// A chain of parts has one home in the whole fleet: reading it again in another site
// costs as much as ten to twenty prompts that cross (section 5.4). It is a reader
// where there is one. A prefix, of which nothing is known but that it is shared, has
// two, and one in each site where traffic between sites costs.
func (v View) homes(servers []Server) map[string]bool {
	key, most, perSite := v.chain(), 1, false
	if key == "" {
		if key = v.Prefix; key == "" || v.tokens() > 0 {
			return nil
		}
		most, perSite = prefixHomes, v.SiteCost > 0
	}
	type weighed struct {
		name   string
		site   string
		weight uint64
	}
	var all []weighed
	for _, role := range []string{engine.Prefill, engine.Decode} {
		for _, s := range servers {
			if s.Pool == v.Pool && s.Role == role && !s.Leaving() && !v.Empty[s.Site] {
				all = append(all, weighed{s.Name, s.Site, hash(key + "\x00" + s.Name)})
			}
		}
		if len(all) > 0 {
			break
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].weight > all[j].weight })
	out, sites := map[string]bool{}, map[string]bool{}
	for _, w := range all {
		if len(out) < most || perSite && !sites[w.site] {
			out[w.name], sites[w.site] = true, true
		}
	}
	return out
}

// Nominate finds the best reader and writer together, or a writer that reads by
// itself, where sizes are known.
func (v View) Nominate(servers []Server) (Pair, bool) {
	if v.Plain {
		return v.selectPlain(servers)
	}
	c := v.cost(servers)
	var pair Pair
	writers := make([]Server, 0, len(servers))
	var outWriters []Score
	for _, s := range servers {
		if s.Pool != v.Pool {
			continue
		}
		if why := v.out(s, engine.Decode); why != "" {
			outWriters = append(outWriters, Score{s.Name, 0, why})
			continue
		}
		writers = append(writers, s)
	}
	best := math.Inf(1)
	candidates := c.candidates(writers)
	for _, reader := range servers {
		if reader.Pool != v.Pool {
			continue
		}
		why := v.out(reader, engine.Prefill)
		if why == "" && v.DirectOnly {
			why = "no further prefill"
		}
		if why != "" {
			pair.Readers = append(pair.Readers, Score{reader.Name, 0, why})
			continue
		}
		ms, price := c.reading(reader)
		writer, total := c.best(candidates, reader, ms, price)
		if writer < 0 {
			pair.Readers = append(pair.Readers, Score{reader.Name, c.sum(ms, price), "no writer"})
			continue
		}
		pair.Readers = append(pair.Readers, Score{reader.Name, total, ""})
		if total < best {
			best, pair.Reader, pair.Writer = total, reader, writers[writer]
		}
	}
	direct := map[string]float64{}
	if c.sized {
		for _, w := range writers {
			total := c.sum(c.direct(w))
			direct[w.Name] = total
			if total < best {
				best, pair.Reader, pair.Writer, pair.Direct = total, Server{}, w, true
			}
		}
	}
	for _, w := range candidates {
		score := direct[w.Name]
		if !pair.Direct && pair.Reader.Name != "" {
			score = c.sum(c.writing(w, pair.Reader))
		}
		pair.Writers = append(pair.Writers, Score{w.Name, score, ""})
	}
	sort.SliceStable(pair.Writers, func(i, j int) bool { return pair.Writers[i].Score < pair.Writers[j].Score })
	pair.Writers = append(pair.Writers, outWriters...)
	if c.sized && pair.Writer.Name != "" {
		pair.Takes, pair.Pace = c.takes(pair), c.pace
	}
	return pair, pair.Writer.Name != ""
}

// takes is how long the read of a pair lasts, for telling other nodes.
func (c *cost) takes(p Pair) time.Duration {
	ms := stepMS
	if p.Direct {
		ms += c.read(p.Writer)*(directMS+pieceMS)*c.pace + c.pairs(p.Writer)
	} else {
		ms += c.read(p.Reader)*readMS*c.pace + c.pairs(p.Reader)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// writing is what a writer comes to for memory that lies at a reader.
func (c *cost) writing(w candidate, reader Server) (ms, price float64) {
	ms, price = c.handOver(reader, w.Server)
	return ms + w.ms, price + w.price
}

// best is the writer that makes a pair with a reader cheapest, -1 without one.
func (c *cost) best(writers []candidate, reader Server, ms, price float64) (found int, total float64) {
	found, total = -1, math.Inf(1)
	for i := range writers {
		wms, wprice := c.writing(writers[i], reader)
		if sum := c.sum(ms+wms, price+wprice); sum < total {
			found, total = i, sum
		}
	}
	return found, total
}

// Writer finds the best writer for memory that lies at a reader already.
func (v View) Writer(servers []Server, reader Server) (Server, bool) {
	c := v.cost(nil)
	var writers []Server
	for _, s := range servers {
		if s.Pool == v.Pool && v.out(s, engine.Decode) == "" {
			writers = append(writers, s)
		}
	}
	i, _ := c.best(c.candidates(writers), reader, 0, 0)
	if i < 0 {
		return Server{}, false
	}
	return writers[i], true
}

// Places counts the slots of a pool's engines that may be used, those taken, and what
// waits there, by the last reports, however old, and this node's goes.
func (v View) Places(servers []Server) (places, taken, waiting int) {
	for _, s := range servers {
		if s.Pool != v.Pool || s.Leaving() || v.Empty[s.Site] {
			continue
		}
		slots := v.slots(s)
		places += slots
		taken += min(max(s.Load.Running+s.Since, s.Inflight, 0), slots)
		waiting += s.Load.Waiting
	}
	return places, taken, waiting
}

// Free tells that over half of the places are free and nothing waits there: whoever
// is turned away then is turned away for nothing (section 5.3).
func (v View) Free(servers []Server) bool {
	places, taken, waiting := v.Places(servers)
	return places > 0 && 2*taken < places && waiting == 0
}
