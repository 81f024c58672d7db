package pairing

import "math"

// Engines of a plain pool have no roles: one of them takes the request whole. Scores are
// in parts of a full engine (design.md section 5.11).
const (
	// plainDepth is how many times its slots an engine may be asked for at once: what is
	// beyond the slots waits there for a round of work, and that is as long as aims bear.
	plainDepth = 2
	// plainZone is how much busier an engine of this node's zone may be than one elsewhere.
	plainZone = 0.25
	// plainLean is the most by which a node leans to one of several engines that are alike,
	// so that it goes back to where it has a connection.
	plainLean = 0.1
)

// plainLoad is how many requests are at a plain engine, by its answers of late and by what
// this node has there.
func plainLoad(s Server) int { return max(s.Load.Running+s.Load.Waiting, 0) + s.Inflight }

// plainOut says why a plain engine cannot be selected now; empty: it can.
func (v View) plainOut(s Server) string {
	switch {
	case s.Leaving():
		return "leaving"
	case v.Empty[s.Site]:
		return "site emptied"
	case v.WarmRate > 0 && v.cold(s) && !v.warming(s):
		return "cold"
	case s.Inflight >= v.connectionShare():
		return "connections"
	case s.Inflight > 0 && plainLoad(s) >= plainDepth*v.slots(s):
		return "full"
	}
	return ""
}

// connectionShare is how many requests this node may have at one engine at the same moment:
// each takes a connection, and an engine resets those beyond its limit. One is always
// allowed. The sum over the fleet stays within the limit where it allows one a node; where it
// does not, few nodes have a request there at the same moment.
func (v View) connectionShare() int {
	if v.Connections <= 0 {
		return math.MaxInt
	}
	return max(v.Connections/max(v.Nodes, 1), 1)
}

// busyPart is the part of an engine's connections that is left to those in use, as a divisor.
const busyPart = 4

// IdleConnections is how many unused connections this node may keep to an engine; 0: no
// bound. The fleet's sum leaves a quarter of the limit to connections in use; with fewer
// connections than nodes some nodes keep none (NoIdle), by turns that all agree on.
func (v View) IdleConnections(name string) int {
	if v.Connections <= 0 {
		return 0
	}
	if n := v.deal(v.Connections-v.Connections/busyPart, name, 0); n > 0 {
		return n
	}
	return NoIdle
}

// NoIdle stands for an engine to which no unused connection may be kept.
const NoIdle = -1

// plainScore is what an engine that can be selected comes to; the lowest is selected.
func (v View) plainScore(s Server) float64 {
	score := float64(plainLoad(s)) / float64(v.slots(s))
	if s.Site != v.Site {
		score += plainZone
	}
	if s.Resting {
		// Any other first; but where there is no other, it is used.
		score += restCost
	}
	return score + plainLean*v.preference(s)
}

// selectPlain selects the engine that takes a request whole.
func (v View) selectPlain(servers []Server) (Pair, bool) {
	pair, best := Pair{}, math.Inf(1)
	for _, s := range servers {
		if s.Pool != v.Pool {
			continue
		}
		if why := v.plainOut(s); why != "" {
			pair.Writers = append(pair.Writers, Score{s.Name, 0, why})
			continue
		}
		score := v.plainScore(s)
		pair.Writers = append(pair.Writers, Score{s.Name, score, ""})
		if score < best {
			best, pair.Writer, pair.Direct = score, s, true
		}
	}
	return pair, pair.Direct
}
