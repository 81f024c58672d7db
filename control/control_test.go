package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/verdict"
)

// registers is a control state that a scene answers for; its clock is virtual time and
// what a scene adds to it, as a freeze does.
type registers struct {
	began  time.Time
	frozen time.Duration
	asked  []register.Request
	does   func(ctx context.Context, req register.Request) register.Result
}

func (r *registers) Now() time.Duration { return time.Hour + time.Since(r.began) + r.frozen }
func (r *registers) OpID() string       { return "op" }

// Seen implements Registers: no order has been heard of.
func (r *registers) Seen(string) register.Entry { return register.Entry{} }

// Awake implements Registers: no scene freezes the node before its order is read.
func (r *registers) Awake() bool { return true }
func (r *registers) Hurry()      {}
func (r *registers) Do(ctx context.Context, req register.Request) register.Result {
	r.asked = append(r.asked, req)
	return r.does(ctx, req)
}

const inForce = 2 * time.Second

// scene plays one scene in virtual time.
func scene(t *testing.T, does func(ctx context.Context, req register.Request) register.Result, play func(r *registers, c *Control)) {
	synctest.Test(t, func(t *testing.T) {
		Convey("scene", t, func() {
			r := &registers{began: time.Now(), does: does}
			play(r, New(r, r, inForce, 12*inForce))
		})
	})
}

// stored is the desk register's cell with one file in it.
func stored() register.Entry {
	value, err := desk.Stored{}.Next([]byte(`{}`), "first", 1).Encode()
	if err != nil {
		panic(err)
	}
	return register.Entry{Serial: 1, Value: value}
}

// silent is a majority that is cut away: nothing comes back before the caller gives up.
func silent(ctx context.Context, req register.Request) register.Result {
	<-ctx.Done()
	if req.Read {
		return register.Result{Outcome: register.NotDone}
	}
	return register.Result{Outcome: register.Unknown}
}

func prompt(context.Context, register.Request) register.Result {
	return register.Result{Outcome: register.Done, Cell: stored()}
}

func TestEvidence(t *testing.T) {
	// What was read right now is good for 3/8 of the bound, counted from when it was asked.
	scene(t, func(ctx context.Context, _ register.Request) register.Result {
		lifecycle.Pause(ctx, 100*time.Millisecond)
		return prompt(ctx, register.Request{})
	}, func(r *registers, c *Control) {
		shown, fault := c.DeskInForce(context.Background())
		So(fault, ShouldBeNil)
		So(shown.Value().Serial, ShouldEqual, 1)
		So(shown.Until(), ShouldEqual, time.Hour+inForce*3/8)
		So(shown.Held(), ShouldBeTrue)
		r.frozen = inForce*3/8 - 100*time.Millisecond
		So(shown.Held(), ShouldBeFalse)
	})
	// A freeze between the majority's word and its use has it asked anew.
	scene(t, prompt, func(r *registers, c *Control) {
		r.does = func(context.Context, register.Request) register.Result {
			if len(r.asked) == 1 {
				r.frozen += 10 * time.Second
			}
			return register.Result{Outcome: register.Done, Cell: stored()}
		}
		shown, fault := c.Read(context.Background(), core.KeyDesk)
		So(fault, ShouldBeNil)
		So(shown.Held(), ShouldBeTrue)
		So(r.asked, ShouldHaveLength, 2)
	})
	// What an edit lost to, or a repeat found, is as old as the read that showed it.
	scene(t, prompt, func(r *registers, c *Control) {
		lost, fault := c.ApplyDesk(context.Background(), Edit{Base: 7, ID: "x"})
		So(fault, ShouldBeNil)
		So(lost.Outcome, ShouldEqual, register.Conflict)
		again, fault := c.ApplyDesk(context.Background(), Edit{Base: 0, ID: "first"})
		So(fault, ShouldBeNil)
		So(again.Repeated, ShouldBeTrue)
		So(lost.Shown.Held() && again.Shown.Held(), ShouldBeTrue)
		r.frozen = inForce
		So(lost.Shown.Held() || again.Shown.Held(), ShouldBeFalse)
	})
}

func TestAnswerWithin(t *testing.T) {
	// Without a majority every call ends within the operator's second of silence.
	scene(t, silent, func(r *registers, c *Control) {
		calls := []func(ctx context.Context) *verdict.Error{
			func(ctx context.Context) *verdict.Error { _, fault := c.DeskInForce(ctx); return fault },
			func(ctx context.Context) *verdict.Error {
				_, fault := c.ApplyDesk(ctx, Edit{Base: 1, ID: "x"})
				return fault
			},
			func(ctx context.Context) *verdict.Error { _, _, fault := c.EmptySite(ctx, "a", true); return fault },
		}
		for _, call := range calls {
			began := time.Now()
			ctx, cancel := AnswerWithin(context.Background(), -1)
			fault := call(ctx)
			cancel()
			So(fault.Verdict, ShouldEqual, verdict.NotRun)
			So(fault.Status, ShouldEqual, 503)
			So(fault.RetryAfter, ShouldBeGreaterThan, 0)
			So(time.Since(began), ShouldBeLessThan, time.Second)
		}
	})
	// One that goes away between the read and the write leaves the outcome unknown.
	scene(t, silent, func(r *registers, c *Control) {
		r.does = func(ctx context.Context, req register.Request) register.Result {
			if req.Read {
				return prompt(ctx, req)
			}
			return silent(ctx, req)
		}
		began := time.Now()
		ctx, cancel := AnswerWithin(context.Background(), -1)
		defer cancel()
		done, fault := c.ApplyDesk(ctx, Edit{Base: 1, ID: "x", File: []byte(`{}`)})
		So(fault, ShouldBeNil)
		So(done.Outcome, ShouldEqual, register.Unknown)
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})
	// A long body takes its time to come.
	ctx, cancel := AnswerWithin(context.Background(), 1<<20)
	defer cancel()
	by, _ := ctx.Deadline()
	Convey("a long body has longer", t, func() { So(time.Until(by), ShouldBeGreaterThan, 5*time.Second) })
}
