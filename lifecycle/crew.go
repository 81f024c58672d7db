// Package lifecycle is the one place where goroutines are started (design.md section
// 7.1): long duties, and pools of workers over bounded queues.
package lifecycle

import (
	"context"
	"sync"
	"time"
)

// Crew is all the goroutines of one process. Any goroutine may start others at any time, also while
// the crew stops and its last one ends, which a sync.WaitGroup does not allow: it panics.
type Crew struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex // innermost
	running int
	none    *sync.Cond // running is 0
}

// New makes a crew that works until Stop, or until the parent is done.
func New(parent context.Context) *Crew {
	c := &Crew{}
	c.ctx, c.cancel = context.WithCancel(parent)
	c.none = sync.NewCond(&c.mu)
	return c
}

// Context ends when the crew is told to stop.
func (c *Crew) Context() context.Context { return c.ctx }

// Start runs one duty until it returns; it should when its context ends. One that is started when
// Stop has returned runs under an ended context, and nobody waits for it.
func (c *Crew) Start(run func(ctx context.Context)) {
	c.count(1)
	go func() {
		defer c.count(-1)
		defer reportPanic()
		run(c.ctx)
	}()
}

func (c *Crew) count(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running += change; c.running == 0 {
		c.none.Broadcast()
	}
}

// Wait waits for a moment at which all duties have ended by themselves.
func (c *Crew) Wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.running > 0 {
		c.none.Wait()
	}
}

// Stop tells all duties to end and waits for them.
func (c *Crew) Stop() {
	c.cancel()
	c.Wait()
}

// Pool is a fixed number of workers over one bounded queue.
type Pool struct {
	tasks chan func(ctx context.Context)
}

// Pool starts the workers.
func (c *Crew) Pool(workers, depth int) *Pool {
	p := &Pool{tasks: make(chan func(ctx context.Context), depth)}
	for range workers {
		c.Start(func(ctx context.Context) {
			for {
				select {
				case <-ctx.Done():
					return
				case task := <-p.tasks:
					task(ctx)
				}
			}
		})
	}
	return p
}

// Submit queues a task; false means that the queue is full and nothing was queued.
func (p *Pool) Submit(task func(ctx context.Context)) bool {
	select {
	case p.tasks <- task:
		return true
	default:
		return false
	}
}

// Cleanup is a stack of what to undo, last first.
type Cleanup struct{ steps []func() }

// Add puts one step on the stack.
func (s *Cleanup) Add(step func()) { s.steps = append(s.steps, step) }

// Run takes every step, last added first, once.
func (s *Cleanup) Run() {
	for i := len(s.steps) - 1; i >= 0; i-- {
		s.steps[i]()
	}
	s.steps = nil
}

// Pause waits for a while; false means that ctx ended first.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every takes a step at each tick until ctx ends.
func Every(ctx context.Context, d time.Duration, step func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			step()
		}
	}
}
