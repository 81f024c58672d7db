package pairing

import (
	"math"
	"time"
)

// cold tells an engine that bears few requests a second.
func (v View) cold(s Server) bool {
	return s.Cold > 0 || v.WarmFor > 0 && s.Age < v.WarmFor
}

// Turn tells whether a go that was nominated earlier may be sent now: a cold engine may
// have had another one of this node meanwhile.
func (v View) Turn(s Server) bool { return v.WarmRate <= 0 || !v.cold(s) || v.warming(s) }

// warming tells whether this node may begin one more go at a cold engine now.
//
// The fleet is held to its rate without a word: no more than half as many nodes as
// the rate allows requests a second, and the spare ones, send at all, each with a
// distance of nodes/rate. In any second each begins at most 1 + rate/nodes, so all of
// them together at most rate + nodes, which is 1.5 times the rate and coldSpare
// (section 5.5). Reading a prompt is a request like any other.
func (v View) warming(s Server) bool {
	nodes := max(v.Nodes, 1)
	sending := min(nodes, max(1, int(v.WarmRate/2)+coldSpare))
	if sending < nodes {
		// The places must be agreed on, or more than these would send.
		if v.Partial || (v.Rank+int(hash(s.Name)%uint64(nodes)))%nodes >= sending {
			return false
		}
	}
	apart := time.Duration(math.Ceil(float64(sending) / v.WarmRate * float64(time.Second)))
	if v.Partial {
		// Perhaps there are more nodes than this one knows of.
		apart = max(apart, time.Second)
	}
	return s.Quiet >= apart
}

// coldSpare is how many nodes send to a cold engine beyond half of its rate: the
// rules leave so much beside 1.5 times the rate.
const coldSpare = 5
