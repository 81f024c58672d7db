package node

import (
	"math"
	"slices"
	"sync"
	"time"

	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/explain"
	"linedrum.example/linedrum/pairing"
	"linedrum.example/linedrum/prefixcache"
	"linedrum.example/linedrum/serve"
	"linedrum.example/linedrum/warmth"
)

// engines is the table of engines as this node sees them.
type engines struct {
	site     string
	self     string
	stale    time.Duration // a report older than this does not count
	rest     time.Duration // an engine rests this long after a failed go
	ramp     time.Duration // slow start
	started  time.Duration // when this process had its first picture; before, it sent nothing
	listing  bool          // a lister says what engines play: nothing need be asked for service
	mu       sync.Mutex    // taken after the gate's and the core lock
	servers  map[string]*server
	picture  serve.Picture
	doubts   warmth.Doubts
	slow     map[[2]string]linkCost
	nodes    int
	rank     int
	partial  bool
	ordering map[string]bool
	duties   map[string]bool // pools whose roles are this node's duty
	turn     int             // of the polls
	kept     *prefixcache.Book
	gone     map[string]bool         // left or leaving by this node's own look, though not yet in force
	notices  chan prefixcache.Notice // of this node's goes, for the cohort
	// The same in the short form, for fleets that tell by relays; hashes finds engines by it.
	announcements chan prefixcache.Announcement
	hashes        map[uint32]string
	plain         map[string]desk.Pool     // pools whose engines have no roles, by name
	paces         map[string]*pairing.Pace // of reading, by pool
	ownRead       pairing.Read             // this node's last one, not told yet
	tick          time.Duration            // a snapshot is used for no longer
	latest        *snapshot                // nil: something that it rests on has changed since
}

// snapshot is the pairing's picture of the servers at a moment, without what they keep
// of a prompt. It is never changed, since explanations hold it.
type snapshot struct {
	servers []pairing.Server
	at      time.Duration
}

type server struct {
	listed   engine.Listed
	load     engine.Load
	at       time.Duration // of the report
	polling  bool
	silent   bool
	inflight int
	since    int
	resting  time.Duration
	failed   int // goes that failed in a row
	ordered  engine.Fence
	obeyed   time.Duration   // when it took that order
	began    time.Duration   // when this node last nominated it for a go; 0: never
	sent     []time.Duration // when this node sent the goes of the last pairing.ColdWindow there
	cold     time.Duration   // until when it is cold
	busy     float64         // of a plain engine: requests there, smoothed over what its answers told
}

func newEngines(site string, recovery time.Duration, listing bool) *engines {
	return &engines{
		listing: listing, duties: map[string]bool{}, site: site, stale: recovery / 6, rest: recovery / 12, ramp: recovery * 5 / 6, tick: recovery / 1200,
		kept: prefixcache.New(), notices: make(chan prefixcache.Notice, noticeDepth), paces: map[string]*pairing.Pace{}, announcements: make(chan prefixcache.Announcement, noticeDepth), servers: map[string]*server{}, slow: map[[2]string]linkCost{}, nodes: 1, ordering: map[string]bool{},
	}
}

// take puts a new picture in force for nominations.
func (t *engines) take(p serve.Picture, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.started == 0 {
		t.started = now
	}
	looked := p.EngineSerial != t.picture.EngineSerial
	t.picture, t.latest = p, nil
	t.doubts.Take(p.Sites.Back, p.Engines.Covers, now)
	listed := map[string]bool{}
	for _, e := range p.Engines.Engines {
		listed[e.Name] = true
		s := t.servers[e.Name]
		fresh := s == nil || s.listed.Addr != e.Addr
		if fresh {
			s = &server{}
			t.servers[e.Name] = s
		}
		if e.ColdMS > 0 && (fresh || looked) {
			s.cold = now + time.Duration(e.ColdMS)*time.Millisecond
		}
		s.listed = e
	}
	t.plain = map[string]desk.Pool{}
	if p.Desk != nil {
		for _, pool := range p.Desk.Pools {
			if pool.Plain {
				t.plain[pool.Name] = pool
			}
		}
	}
	t.hashes = make(map[uint32]string, len(t.servers))
	for name, s := range t.servers {
		t.hashes[prefixcache.NameHash(name, s.listed.Life)] = name
	}
	t.gone = nil
	t.kept.Retain(func(name string) bool { return listed[name] })
	for name := range t.servers {
		if !listed[name] {
			delete(t.servers, name)
		}
	}
	for key := range t.slow {
		if !listed[key[0]] || !listed[key[1]] {
			delete(t.slow, key)
		}
	}
}

// takeAway puts engines out of service that this node has seen leave itself; the next
// picture ends it, or is followed by what is still to be taken away.
func (t *engines) takeAway(gone map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gone, t.latest = gone, nil
}

func (t *engines) place(nodes, rank int, partial bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes, t.rank, t.partial = nodes, rank, partial
}

// list is the pairing's picture of the servers for a prompt; it is only read, since
// others may hold it. Called under t.mu.
func (t *engines) list(parts []engine.Part, now time.Duration) []pairing.Server {
	if t.latest == nil || now < t.latest.at || now-t.latest.at >= t.tick {
		t.latest = &snapshot{servers: t.observe(now), at: now}
	}
	if len(parts) == 0 {
		return t.latest.servers
	}
	out, keys := slices.Clone(t.latest.servers), prefixcache.Keys(parts)
	for i := range out {
		out[i].Kept = t.kept.TokensOf(out[i].Name, out[i].Life, keys)
	}
	return out
}

// observe makes the pairing's picture of the servers. Called under t.mu.
func (t *engines) observe(now time.Duration) []pairing.Server {
	out := make([]pairing.Server, 0, len(t.servers))
	heard, unheard := map[string]loads{}, []int(nil)
	for _, e := range t.picture.Engines.Engines {
		s := t.servers[e.Name]
		if s == nil {
			continue
		}
		if t.gone[e.Name] {
			e.State = engine.Left
		}
		if pool, plain := t.plainPool(e.Pool); plain {
			out = append(out, t.observePlain(e, s, pool, now))
			continue
		}
		role := t.picture.Roles[e.Pool].Table.Roles[e.Name]
		one := pairing.Server{
			Listed: e, Role: role, Load: s.load, Seen: s.at > 0 && now-s.at < t.stale,
			Age: t.age(s, now), Inflight: s.inflight, Since: s.since,
			Resting: now < s.resting, Cold: t.coldLeft(s, now), Quiet: now, Recent: t.recent(s, now),
		}
		if s.began > 0 {
			one.Quiet = now - s.began
		}
		one.Backlog = t.kept.Backlog(e.Name, e.Life, now)
		if t.toldOf(e) {
			one.Load.Role = e.Role
			if one.Load.Slots == 0 {
				one.Load.Slots = e.Slots
			}
			if !one.Seen {
				// What it said is too old to go by: what this node sent is left, beside
				// what the engines of its role have that spoke of late.
				one.Load.Running, one.Load.Waiting, one.Since = 0, 0, s.inflight
				unheard = append(unheard, len(out))
			} else {
				heard[e.Pool+" "+role] = heard[e.Pool+" "+role].plus(s.load)
			}
			one.Seen = true
		}
		if one.Load.Role != role {
			one.Role = "" // it has not obeyed yet, or started anew
		}
		out = append(out, one)
	}
	for _, i := range unheard {
		mean := heard[out[i].Pool+" "+out[i].Role]
		if mean.engines > 0 {
			out[i].Load.Running, out[i].Load.Waiting = mean.running/mean.engines, mean.waiting/mean.engines
		}
	}
	return out
}

// coldLeft is for how long an engine counts as cold yet. One of a site that was taken
// back does until the list tells, or until it must have become warm. Called under t.mu.
func (t *engines) coldLeft(s *server, now time.Duration) time.Duration {
	until := s.cold
	if since, doubted := t.doubts.Since(s.listed.Site); doubted {
		until = max(until, since+t.warmFor(s.listed.Pool))
	}
	return max(until-now, 0)
}

// warmFor is how long an engine of a pool stays cold, as far as is told; else as long as
// a slow start takes. Called under t.mu.
func (t *engines) warmFor(pool string) time.Duration {
	if t.picture.Desk != nil {
		if p, ok := t.picture.Desk.Pool(pool); ok && p.WarmFor > 0 {
			return p.WarmFor.D()
		}
	}
	return t.ramp
}

// loads sums up what some engines said last.
type loads struct{ engines, running, waiting int }

func (l loads) plus(one engine.Load) loads {
	return loads{l.engines + 1, l.running + one.Running, l.waiting + one.Waiting}
}

func (t *engines) view(want serve.Want, now time.Duration) pairing.View {
	v := pairing.View{
		Pool: want.Pool, Site: t.site, Self: t.self, Empty: t.picture.Sites.Empty, Prefix: want.Prefix, Ramp: t.ramp,
		Nodes: t.nodes, Rank: t.rank, Partial: t.partial, Aim: want.Aim, Pause: want.Pause, DirectOnly: want.DirectOnly, Told: true,
	}
	if want.Ask != nil {
		v.Parts, v.Tokens, v.Out = want.Ask.Parts, want.Ask.Tokens, want.Ask.Out
	}
	for key := range t.slow {
		if cost := t.costNow(key, now); cost > 0.01 {
			v.Slow = append(v.Slow, pairing.Link{Reader: key[0], Writer: key[1], Cost: cost})
		}
	}
	if t.picture.Desk != nil {
		if p, ok := t.picture.Desk.Pool(want.Pool); ok {
			v.SiteCost, v.WarmRate, v.WarmFor = p.SiteCost, p.WarmRate, p.WarmFor.D()
			v.Plain, v.Connections, v.Pace = p.Plain, p.Connections, t.paces[want.Pool].Factor()
			v.Engine = pairing.Facts{
				Slots: p.Engine.Slots, MemoryTokens: p.Engine.MemoryTokens, TokenBytes: p.Engine.TokenBytes, LinkMbps: p.Engine.LinkMbps,
			}
		}
	}
	return v
}

// Reserve nominates a pair and counts it as in flight.
func (t *engines) Reserve(want serve.Want, now time.Duration) (pairing.Pair, explain.Nomination, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := explain.Nomination{View: t.view(want, now)}
	n.Servers = t.list(n.View.Parts, now)
	pair, ok := n.View.Nominate(n.Servers)
	if ok {
		n.Reader, n.Writer, n.Readers, n.Writers = pair.Reader.Name, pair.Writer.Name, pair.Readers, pair.Writers
		n.Direct = pair.Direct
		if pair.Direct {
			t.begin(pair.Writer.Name, now)
		} else {
			t.begin(pair.Reader.Name, now)
			t.begin(pair.Writer.Name, now)
		}
		t.tell(pair, n.View.Parts, now)
	}
	return pair, n, ok
}

// ReserveWriter nominates another writer for memory that lies at a reader.
func (t *engines) ReserveWriter(want serve.Want, reader pairing.Server, now time.Duration) (pairing.Server, explain.Nomination, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	want.Prefix = ""
	n := explain.Nomination{View: t.view(want, now), Again: reader.Name, Reader: reader.Name}
	n.Servers = t.list(n.View.Parts, now)
	s, ok := n.View.Writer(n.Servers, reader)
	if ok {
		n.Writer = s.Name
		t.begin(s.Name, now)
	}
	return s, n, ok
}

func (t *engines) begin(name string, now time.Duration) {
	t.latest = nil
	if s := t.servers[name]; s != nil {
		s.inflight++
		s.since++
		s.began = max(now, 1)
	}
}

// Turn implements serve.Engines.
func (t *engines) Turn(pool, name string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil {
		return true // whoever nominated it is told that it is gone
	}
	one := pairing.Server{
		Listed: s.listed, Age: t.age(s, now), Cold: t.coldLeft(s, now), Recent: t.recent(s, now),
	}
	v := t.warming(pool)
	if !v.Turn(one) {
		return false
	}
	if v.WarmRate > 0 {
		s.sent = append(s.sent, now)
	}
	return true
}

// anySent stands for goes that an earlier life of this process may have sent.
const anySent = 1 << 20

// recent is how many goes this machine may have sent to an engine of late. Called
// under t.mu.
func (t *engines) recent(s *server, now time.Duration) int {
	if t.started > 0 && now-t.started < pairing.ColdWindow {
		return anySent
	}
	for len(s.sent) > 0 && now-s.sent[0] >= pairing.ColdWindow {
		s.sent = s.sent[1:]
	}
	return len(s.sent)
}

// warming is the part of a view that goes to cold engines rest on. Called under t.mu.
func (t *engines) warming(pool string) pairing.View {
	v := pairing.View{Pool: pool, Nodes: t.nodes, Rank: t.rank, Partial: t.partial}
	if t.picture.Desk != nil {
		if p, ok := t.picture.Desk.Pool(pool); ok {
			v.WarmRate, v.WarmFor = p.WarmRate, p.WarmFor.D()
		}
	}
	return v
}

// age is how long an engine runs, by its last report. Called under t.mu.
func (t *engines) age(s *server, now time.Duration) time.Duration {
	if t.toldOf(s.listed) && s.load.Boot == "" {
		return t.ramp
	}
	return time.Duration(s.load.AgeMS)*time.Millisecond + now - s.at
}

// Kept notes that an engine has a chain of parts in its memory now.
func (t *engines) Kept(pool, name string, parts []engine.Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latest = nil
	s := t.servers[name]
	if s == nil || t.picture.Desk == nil || len(parts) == 0 {
		return
	}
	if _, plain := t.plainPool(pool); plain {
		return
	}
	t.kept.Note(name, s.listed.Life, parts, t.memory(pool))
}

// Idle tells that half of a pool's places are free, and that nothing waits there.
func (t *engines) Idle(pool string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view(serve.Want{Pool: pool}, now).Free(t.list(nil, now))
}

// ReadTook implements serve.Engines: other nodes are told with this one's next announcement.
func (t *engines) ReadTook(pool string, pair pairing.Pair, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownRead = pairing.ReadOf(pair, took)
	t.pace(pool).Add(t.ownRead)
}

// pace of a pool's engines. Called under t.mu.
func (t *engines) pace(pool string) *pairing.Pace {
	p := t.paces[pool]
	if p == nil {
		p = &pairing.Pace{}
		t.paces[pool] = p
	}
	return p
}

// End gives a reservation back.
func (t *engines) End(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latest = nil
	if s := t.servers[name]; s != nil {
		s.inflight = max(s.inflight-1, 0)
		s.since-- // below nought: a go that the last report counted has ended
	}
}

// Usable tells whether a go may still go to an engine, by what is in force now.
func (t *engines) Usable(pool, name, role string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	_, plain := t.plainPool(pool)
	return s != nil && s.listed.Pool == pool && !s.listed.Leaving() && !t.gone[name] && !t.picture.Sites.Empty[s.listed.Site] &&
		(plain || t.picture.Roles[pool].Table.Roles[name] == role)
}

// linkCost is what is remembered of the way between two engines. It fades, so
// that a link which got better is tried again.
type linkCost struct {
	cost float64
	at   time.Duration
}

func (t *engines) costNow(key [2]string, now time.Duration) float64 {
	l, ok := t.slow[key]
	if !ok {
		return 0
	}
	return l.cost * math.Exp2(-float64(now-l.at)/float64(t.ramp))
}

// NoteLink takes what one hand-over cost into account; 1 is as bad as a full engine.
func (t *engines) NoteLink(reader, writer string, cost float64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := [2]string{reader, writer}
	before := t.costNow(key, now)
	t.slow[key] = linkCost{before + (cost-before)/2, now}
}

// Heard takes what an engine said of its load beside a reply.
func (t *engines) Heard(name string, load engine.Load, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latest = nil
	s := t.servers[name]
	if s == nil {
		return
	}
	if _, plain := t.plainPool(s.listed.Pool); plain {
		s.heardPlain(load, now, t.stale)
		return
	}
	s.load.Running, s.load.Waiting, s.since = load.Running, load.Waiting, 0
	if load.Slots > 0 {
		s.load.Slots = load.Slots
	}
	if t.toldOf(s.listed) {
		s.load.Role = "" // of an older report: the list knows better
	}
	if s.at > 0 {
		s.load.AgeMS += (now - s.at).Milliseconds()
	}
	s.at = now
}

// Full takes an engine's word that it is busy, until its next report.
func (t *engines) Full(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latest = nil
	if s := t.servers[name]; s != nil {
		if _, plain := t.plainPool(s.listed.Pool); plain {
			return // no report would end it: it rests (RestFor)
		}
		s.load.Running = max(s.load.Running, s.load.Slots)
	}
}

// Outdated drops an engine's report; it gets no work until the next one.
func (t *engines) Outdated(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latest = nil
	if s := t.servers[name]; s != nil {
		s.at = 0
	}
}

// RestFor keeps new work off an engine for a moment.
func (t *engines) RestFor(name string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latest = nil
	if s := t.servers[name]; s != nil {
		// Twice as long each time in a row, up to the span of a slow start.
		s.resting = now + min(t.rest<<min(s.failed, 10), t.ramp)
		s.failed++
	}
}

// Well notes a go that an engine finished.
func (t *engines) Well(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latest = nil
	if s := t.servers[name]; s != nil {
		s.failed, s.resting = 0, 0
	}
}
