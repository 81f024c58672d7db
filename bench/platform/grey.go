package platform

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// GreyWay is how an engine fails requests while its health answer is good.
type GreyWay string

// The ways: it answers 500 after it began, turns the request away, resets the
// connection, or takes the request and says nothing.
const (
	GreyErrors GreyWay = "errors"
	GreyShed   GreyWay = "shed"
	GreyReset  GreyWay = "reset"
	GreyHang   GreyWay = "hang"
)

// GreyWays lists them.
var GreyWays = []GreyWay{GreyErrors, GreyShed, GreyReset, GreyHang}

// greyShare is how many of its requests a grey engine fails, where a day does not say.
const greyShare = 0.4

func (e *Engine) draw() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64()
}

// grey fails one request; false: the connection ends.
func (e *Engine) grey(ctx context.Context, l *line, req *http.Request, rec *Arrival, how GreyWay) bool {
	if how == GreyShed {
		return e.refuse(l, req, http.StatusServiceUnavailable)
	}
	e.mu.Lock()
	e.seq++
	run := fmt.Sprintf("%s.%d", e.ID, e.seq)
	e.mu.Unlock()
	e.site.Evidence.add(func() { rec.Ran, rec.Run, rec.Failed = time.Now(), run, true })
	defer e.site.Evidence.add(func() { rec.Broken, rec.Ended = how != GreyErrors, time.Now() })
	switch how {
	case GreyReset:
		abort(l.Conn)
		return false
	case GreyHang:
		ctx, cancel := context.WithDeadline(ctx, newJob(req, rec).by)
		defer cancel()
		l.look(e.crew, cancel)
		defer l.done()
		<-ctx.Done()
		return false
	default:
		return e.answer(l, req, http.StatusInternalServerError, http.Header{HeaderSeal: {run + ".0"}}, []byte("grey\n"))
	}
}
