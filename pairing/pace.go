package pairing

import (
	"slices"
	"time"
)

// Read is how long one read was expected to take by the figures of the costs, without waiting
// (Expected), and how long it took with its wait. Expected 0: it tells nothing.
type Read struct {
	Expected, Took time.Duration
}

// Pace is how long a pool's engines take to read, against what the costs say: their figures
// are those of the engines that the product was tuned for. It is worked out from the last reads
// of this node and of those that tell it of theirs. It is not safe for concurrent use.
//
// A read takes what the engine needs for it and what it waits there, of which nobody knows for
// certain. So the quickest ones tell, and they are remembered for long: under load, when all
// of them wait, the pace stays what it was seen to be before.
type Pace struct {
	batch  []float64 // ratios since the last quantile
	lowest []float64 // quantiles of the last batches, the oldest first
}

// What a pace rests on, and its bounds.
const (
	paceLong     = 60 * time.Millisecond // shorter reads are lost in what an engine takes for any
	paceBatch    = 32                    // reads to a quantile
	paceBatches  = 64                    // quantiles that are remembered
	paceQuantile = 10                    // one in so many reads is quicker: it was not known what the engine kept
	paceLeast    = 0.5                   // bounds of the factor
	paceMost     = 4.0
)

// ReadOf is what a read tells that was expected to take so long by a pace that held then.
func ReadOf(pair Pair, took time.Duration) Read {
	if pair.Pace <= 0 || pair.Takes <= 0 || pair.Direct {
		return Read{}
	}
	return Read{Expected: time.Duration(float64(pair.Takes) / pair.Pace), Took: took}
}

// Add takes one read in.
func (p *Pace) Add(r Read) {
	if r.Expected < paceLong {
		return
	}
	p.batch = append(p.batch, float64(r.Took)/float64(r.Expected))
	if len(p.batch) < paceBatch {
		return
	}
	slices.Sort(p.batch)
	p.lowest = append(p.lowest, p.batch[paceBatch/paceQuantile])
	p.batch = p.batch[:0]
	if len(p.lowest) > paceBatches {
		p.lowest = p.lowest[1:]
	}
}

// Factor is what times of reading are to be multiplied by; 1 where too little was seen.
func (p *Pace) Factor() float64 {
	if p == nil || len(p.lowest) == 0 {
		return 1
	}
	return min(max(slices.Min(p.lowest), paceLeast), paceMost)
}
