package drain

import "time"

// Schedule bounds the phases of a planned stop (design.md section 6). Each is counted from
// the stop's beginning and ends later than the one before.
type Schedule struct {
	Accept time.Duration // new connections are accepted; afterwards the listener is closed
	Take   time.Duration // requests are taken; afterwards they are refused at once
	Finish time.Duration // what is in hand gets its response; afterwards it is given up
	Close  time.Duration // responses are written; afterwards connections are closed
}

// Parts of the time that a planned stop may take.
const (
	acceptPart = 4.0 / 16
	takePart   = 5.0 / 16
	finishPart = 27.0 / 32
	closePart  = 28.0 / 32
)

// Within is the schedule of a stop that may take so long. Idle connections are closed between
// Accept and Take (Conns.Close), and the last eighth is left for what follows the faces: the
// ring is left, and the disk closed.
func Within(limit time.Duration) Schedule {
	part := func(share float64) time.Duration { return time.Duration(share * float64(limit)) }
	return Schedule{Accept: part(acceptPart), Take: part(takePart), Finish: part(finishPart), Close: part(closePart)}
}
