package budget

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Phase is what an account's connection is at. What it holds can be taken back in each
// phase but Working.
type Phase uint8

const (
	Resting   Phase = iota // between requests, or before the first
	Receiving              // a request or message is on its way
	Working                // a request was read whole and has no answer yet
	Sending                // the peer is to take what it is sent
)

// Pace is how fast a peer must move what it has the process hold, to be spared.
type Pace struct {
	Grace time.Duration // an account that moved is spared for so long
	Rate  int64         // bytes that count as a second of moving
}

// Errors of accounts.
var (
	ErrGaveWay = errors.New("the connection gave way to others that move more")
	ErrShort   = errors.New("the process holds as much for its peers as it may, and none of them is slow")
)

// Pool gives one share out. Safe for concurrent use.
type Pool struct {
	share Share
	pace  Pace
	now   func() time.Duration

	mu       sync.Mutex // innermost
	accounts map[*Account]struct{}
	held     int64         // of all accounts
	leaving  int64         // of these, held by accounts that have been told to give way
	ending   int           // accounts that have been told to give way
	freed    chan struct{} // closed when something is given back
	counts   Counts
}

// Counts are of one pool since its start, but for the first three, which are of now.
type Counts struct {
	Connections int   `json:"connections"`
	Held        int64 `json:"held_bytes"`
	Most        int64 `json:"most_held_bytes"`
	GaveWay     int64 `json:"gave_way"`
	Refused     int64 `json:"refused_connections"`
	Short       int64 `json:"refused_bytes"` // how often bytes were refused
}

// Account is what one connection holds.
type Account struct {
	pool   *Pool
	evict  func(Phase) // has the connection end; called without locks
	phase  Phase
	held   int64
	due    time.Duration // from then on it counts as slow
	ending bool
	closed bool
}

// New makes a pool by the process's clock.
func New(share Share, pace Pace, now func() time.Duration) *Pool {
	return &Pool{share: share, pace: pace, now: now, accounts: map[*Account]struct{}{}, freed: make(chan struct{})}
}

// Share is what the pool gives out.
func (p *Pool) Share() Share { return p.share }

// Counts tells how the pool stands.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.Connections, c.Held = len(p.accounts), p.held
	return c
}

// Open begins an account of a new connection; false: there is no room, and the connection
// is to be closed. evict is called, once at most, to have the connection end, in the phase
// that it was in; the account lasts until Close all the same.
func (p *Pool) Open(evict func(Phase)) (*Account, bool) {
	a, victim, phase := p.open(evict)
	if victim != nil {
		victim.evict(phase)
	}
	return a, a != nil
}

func (p *Pool) open(evict func(Phase)) (a, victim *Account, phase Phase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if len(p.accounts)-p.ending >= p.share.Connections {
		victim = p.worst(now)
		if victim == nil || len(p.accounts) >= p.share.Connections+Spare {
			p.counts.Refused++
			return nil, nil, 0
		}
		phase = p.end(victim)
	}
	a = &Account{pool: p, evict: evict, due: now + p.pace.Grace}
	p.accounts[a] = struct{}{}
	return a, victim, phase
}

// worst is the account that should give way first: of those that are slow, the one with the
// largest product of what it holds and of how long it has been slow. Called under mu.
func (p *Pool) worst(now time.Duration) (worst *Account) {
	var most float64
	for a := range p.accounts {
		if a.ending || a.phase == Working || a.due >= now {
			continue
		}
		if weight := float64(a.held+p.share.Connection) * (now - a.due).Seconds(); worst == nil || weight > most {
			worst, most = a, weight
		}
	}
	return worst
}

// hoard is how many times as much as another account one must hold to give way to it
// although it is not slow.
const hoard = 8

// largest is the account that holds most, and more than so many bytes. Called under mu.
func (p *Pool) largest(above int64) (largest *Account) {
	for a := range p.accounts {
		if !a.ending && a.phase != Working && a.held > above {
			largest, above = a, a.held
		}
	}
	return largest
}

// end marks an account as one that gives way. Called under mu.
func (p *Pool) end(a *Account) Phase {
	a.ending = true
	p.ending++
	p.leaving += a.held
	p.counts.GaveWay++
	return a.phase
}

// release wakes whoever waits for what others give back. Called under mu.
func (p *Pool) release() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// waitPart is the part of the grace for which bytes are waited for that others give back: what is
// not taken in then is refused, before its sender must take the request for read.
const waitPart = 8

// Take has an account hold more bytes. Where there are not as many, others that are slow or
// hold many times as much give way, and it waits for them for a part of the grace. Its
// error is ErrGaveWay where this account is the one that gives way, and ErrShort where there
// are no others: what is not taken in is refused at once.
func (a *Account) Take(n int64) error {
	until := a.pool.now() + a.pool.pace.Grace/waitPart
	for {
		taken, victim, phase, freed, err := a.take(n)
		if victim != nil && victim != a {
			victim.evict(phase)
		}
		if taken || err != nil {
			return err
		}
		left := until - a.pool.now()
		if left <= 0 {
			return a.short()
		}
		wait, cancel := context.WithTimeout(context.Background(), left)
		select {
		case <-freed:
		case <-wait.Done():
		}
		cancel()
	}
}

// take is one try of Take: it took the bytes, failed, or is to be tried again once freed is
// closed. The victim, if there is one, is to be told.
func (a *Account) take(n int64) (taken bool, victim *Account, phase Phase, freed <-chan struct{}, err error) {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case a.ending || a.closed:
		return false, nil, 0, nil, ErrGaveWay
	case n > p.share.Bytes:
		p.counts.Short++
		return false, nil, 0, nil, ErrShort
	case p.held+n <= p.share.Bytes:
		a.held += n
		p.held += n
		p.counts.Most = max(p.counts.Most, p.held)
		return true, nil, 0, nil, nil
	case p.held-p.leaving+n <= p.share.Bytes:
		return false, nil, 0, p.freed, nil
	}
	if victim = p.worst(p.now()); victim == nil {
		victim = p.largest(hoard * (a.held + n))
	}
	if victim == nil {
		p.counts.Short++
		return false, nil, 0, nil, ErrShort
	}
	phase = p.end(victim)
	if victim == a {
		err = ErrGaveWay
	}
	return false, victim, phase, p.freed, err
}

func (a *Account) short() error {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.pool.counts.Short++
	return ErrShort
}

// Give gives bytes back that were taken.
func (a *Account) Give(n int64) {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	n = min(n, a.held)
	if n == 0 || a.closed {
		return
	}
	a.held -= n
	p.held -= n
	if a.ending {
		p.leaving -= n
	}
	p.release()
}

// Moved notes that bytes came, or were taken by the peer.
func (a *Account) Moved(n int64) {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	credit := p.pace.Grace
	if p.pace.Rate > 0 {
		credit = time.Duration(float64(n) / float64(p.pace.Rate) * float64(time.Second))
	}
	// One that fell behind does not make up for it with a byte.
	a.due = min(a.due+credit, now+p.pace.Grace)
}

// Enter begins a phase, and gives the one before; an account is spared for the pace's grace at
// its begin.
func (a *Account) Enter(phase Phase) Phase {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	before := a.phase
	if before != phase {
		a.phase = phase
		a.due = p.now() + p.pace.Grace
	}
	return before
}

// Begin enters Receiving from Resting: the first byte of something came.
func (a *Account) Begin() {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.phase == Resting {
		a.phase = Receiving
		a.due = p.now() + p.pace.Grace
	}
}

// Holds is how many bytes the account holds.
func (a *Account) Holds() int64 {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	return a.held
}

// Share is what the account's pool gives out.
func (a *Account) Share() Share { return a.pool.share }

// GaveWay tells that the connection is to end, so that others have what it holds.
func (a *Account) GaveWay() bool {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	return a.ending
}

// Close ends the account and gives back all that it holds.
func (a *Account) Close() {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	delete(p.accounts, a)
	p.held -= a.held
	if a.ending {
		p.ending--
		p.leaving -= a.held
	}
	a.held = 0
	p.release()
}
