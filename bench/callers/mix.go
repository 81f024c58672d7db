package callers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"linedrum.example/linedrum/bench/audit"
	"linedrum.example/linedrum/lifecycle"
)

// Stream is one kind of caller at one rate.
type Stream struct {
	Desk, Kind string
	Rate       float64 // calls a second
	Shared     int     // characters of prompt that all calls share
	Own        int     // characters of their own
	Tokens     int
	Stream     bool
	Once       bool // with a key, repeated on failure with the same key
	Patience   time.Duration
}

// Mix is a deployment's callers.
type Mix struct {
	Streams []Stream
	Nodes   func() []string // HTTP addresses that callers know
	Seed    uint64
	Prefix  string // of request ids, so that two mixes do not share any
}

// Kettleby and Dakar are the brief's mixes.
func Kettleby() []Stream {
	return []Stream{
		{Desk: "dispatch", Kind: "check", Rate: 26, Shared: 6000, Own: 200, Tokens: 3, Once: true, Patience: 8 * time.Second},
		{Desk: "standing-orders", Kind: "person", Rate: 32, Own: 160, Tokens: 20, Stream: true, Patience: 10 * time.Second},
	}
}

// Dakar is the other one.
func Dakar() []Stream {
	return []Stream{
		{Desk: "seats", Kind: "check", Rate: 35, Shared: 9000, Own: 120, Tokens: 3, Once: true, Patience: 8 * time.Second},
		{Desk: "fares", Kind: "person", Rate: 43, Own: 200, Tokens: 20, Stream: true, Patience: 10 * time.Second},
	}
}

// Run makes calls at the mix's rates until its time is over, then waits for the
// calls under way. Arrivals are drawn from the seed.
func (m Mix) Run(ctx context.Context, consumer *Consumer, span time.Duration) {
	var calls atomic.Int64
	work := lifecycle.New(ctx)
	drawn := rand.New(rand.NewPCG(m.Seed, 17))
	for si, s := range m.Streams {
		shared := strings.Repeat(fmt.Sprintf("rule %d of %s holds for all. ", si, s.Desk), s.Shared/20+1)[:s.Shared]
		seed := drawn.Uint64()
		work.Start(func(ctx context.Context) {
			r := rand.New(rand.NewPCG(seed, uint64(si)))
			began := time.Now()
			next := time.Duration(0)
			for {
				next += time.Duration(r.ExpFloat64() / s.Rate * float64(time.Second))
				if next >= span {
					return
				}
				if !lifecycle.Pause(ctx, next-time.Since(began)) {
					return
				}
				id := calls.Add(1)
				pick := r.Uint64()
				work.Start(func(ctx context.Context) { m.one(ctx, consumer, s, shared, id, pick) })
			}
		})
	}
	work.Wait()
}

// one is a single caller with its patience: it tries another node when one
// cannot be dialled, and repeats a once-only check with its key.
func (m Mix) one(ctx context.Context, consumer *Consumer, s Stream, shared string, id int64, pick uint64) {
	prompt := shared + fmt.Sprintf("[%s%d] ", m.Prefix, id) + strings.Repeat("w", s.Own)
	key := ""
	if s.Once {
		key = consumer.Key(ctx, m.Nodes(), fmt.Sprintf("%sorder-%d", m.Prefix, id))
	}
	for try := range 8 {
		nodes := m.Nodes()
		call := Call{
			Request: fmt.Sprintf("%s%d.%d", m.Prefix, id, try), Node: nodes[(pick+uint64(try))%uint64(len(nodes))],
			Desk: s.Desk, Kind: s.Kind, Key: key, Prompt: prompt, MaxTokens: s.Tokens, Stream: s.Stream, Patience: s.Patience,
		}
		rec := consumer.Do(ctx, call)
		switch {
		case rec.Unsent:
			continue
		case s.Once && rec.Status == 200 && rec.Repeat == "" && pick%8 == 0:
			// A caller that is not sure whether it has sent its check sends it again,
			// seconds later and anywhere.
			if !lifecycle.Pause(ctx, time.Duration(pick>>32%12)*time.Second) {
				return
			}
			continue
		case !s.Once || rec.Status == 200 || rec.Status == 409 && rec.Code == "ran-before":
			return
		}
		if !lifecycle.Pause(ctx, time.Second) {
			return
		}
	}
}

// Summary counts how calls ended.
func Summary(records []audit.CallerRecord) map[string]int {
	out := map[string]int{}
	for _, r := range records {
		var what string
		switch {
		case r.Unsent:
			what = "unsent"
		case r.Status == 200 && r.Whole:
			what = "whole"
		case r.Status == 200:
			what = "broken-stream"
		case r.Status != 0:
			what = fmt.Sprintf("%d %s %s", r.Status, r.Code, r.Verdict)
		default:
			what = "no-reply (" + r.Code[max(0, len(r.Code)-40):] + ")"
		}
		out[r.Kind+": "+what]++
	}
	return out
}
