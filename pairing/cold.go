package pairing

import (
	"math"
	"time"
)

// cold tells an engine that bears few requests a second.
func (v View) cold(s Server) bool {
	return s.Cold > 0 || v.WarmFor > 0 && s.Age < v.WarmFor
}

// ColdWindow is the span in which the rules count the requests at a cold engine.
const ColdWindow = time.Second

// Turn tells whether a go that was nominated earlier may be sent now: goes wait for
// the read after their writer was nominated, and several may come to it at once.
func (v View) Turn(s Server) bool {
	return v.WarmRate <= 0 || !v.cold(s) || s.Recent < v.coldShare(s)
}

// warming tells whether this node may begin one more go at a cold engine now.
//
// The fleet is held to its rate without a word: no more than half as many nodes as
// the rate allows requests a second, and the spare ones, send at all, each with a
// distance of nodes/rate. In any second each begins at most 1 + rate/nodes, so all of
// them together at most rate + nodes, which is 1.5 times the rate and coldSpare
// (section 5.5). Reading a prompt is a request like any other.
func (v View) warming(s Server) bool {
	if s.Recent >= v.coldShare(s) {
		return false
	}
	apart := time.Duration(math.Ceil(float64(v.senders()) / v.WarmRate * float64(time.Second)))
	if v.Partial {
		// Perhaps there are more nodes than this one knows of.
		apart = max(apart, ColdWindow)
	}
	return s.Quiet >= apart
}

// senders is how many nodes send to one cold engine.
func (v View) senders() int { return min(max(v.Nodes, 1), max(1, int(v.WarmRate/2)+coldSpare)) }

// coldShare is how many goes this node may send to a cold engine within ColdWindow.
func (v View) coldShare(s Server) int {
	nodes, sending := max(v.Nodes, 1), v.senders()
	if sending < nodes {
		// The places must be agreed on, or more than these would send.
		if v.Partial || (v.Rank+int(hash(s.Name)%uint64(nodes)))%nodes >= sending {
			return 0
		}
	}
	if v.Partial {
		return 1
	}
	return int(coldExcess*v.WarmRate+coldSpare) / sending
}

// What the rules allow at a cold engine in any second: so many times its rate, and the
// spare ones.
const (
	coldExcess = 1.5
	coldSpare  = 5
)
