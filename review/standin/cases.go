package main

import (
	"context"
	"time"

	"linedrum.example/linedrum/bench/platform"
	"linedrum.example/linedrum/lifecycle"
)

// first hands the first configuration over.
func (s *stage) first(ctx context.Context, limit time.Duration) bool {
	err := s.site.First(ctx, limit)
	if err != nil {
		s.note("%v", err)
		return false
	}
	s.note("the first configuration was acknowledged")
	return true
}

// served counts the requests that clients began in a part of the run, and of these the served ones.
func (s *stage) served(start time.Time, from, to time.Duration) (asked, whole int) {
	for _, one := range s.site.Evidence.Served {
		if at := one.Began.Sub(start); at >= from && at < to {
			asked++
			if one.Whole {
				whole++
			}
		}
	}
	return asked, whole
}

// audited says what the project's own auditor of the platform's rules found.
func (s *stage) audited() {
	for _, b := range platform.Audit(s.site.Evidence, s.site.Spec) {
		s.note("auditor: %s", b)
	}
}

// lastEngineSpec is one engine in each of three zones: one reads prompts, two generate. The
// load is far below what one engine that generates can bear.
func lastEngineSpec(spec *platform.Spec) {
	spec.Engines = 1
	for i := range spec.Classes {
		spec.Classes[i].PerS = 1
	}
}

// lastEngine: the engines that generate are lost for good, one after the other, and one
// that reads prompts is left. At the end all processes are killed and come back.
func lastEngine(ctx context.Context, s *stage) int {
	const (
		lead     = 10 * time.Second
		losses   = 20 * time.Second // after the load began
		gap      = 6 * time.Second
		closing  = 36 * time.Second
		down     = time.Second
		measured = 12 * time.Second
	)
	recovery := time.Duration(s.site.Spec.Bounds.Recovery) * time.Second
	if !s.first(ctx, lead-time.Second) {
		return failed
	}
	s.until(ctx, lead)
	begin := s.since()
	steps := lifecycle.New(ctx)
	defer steps.Stop()
	steps.Start(func(ctx context.Context) { s.load.Run(ctx, closing+down+recovery+measured+2*time.Second) })
	for i, e := range s.site.Engines() {
		s.note("engine %s in %s", e.ID, e.Zone)
		if i == 0 {
			continue // this one reads prompts (platform.Begin), and stays
		}
		s.until(ctx, begin+losses+time.Duration(i-1)*gap)
		if s.trouble {
			s.note("engine %s is lost for good", e.ID)
			s.site.Crash(e)
		}
	}
	s.until(ctx, begin+closing)
	s.note("all processes are killed")
	for _, n := range s.site.Nodes() {
		s.site.Kill(n, false)
	}
	lifecycle.Pause(ctx, down)
	for _, n := range s.site.Nodes() {
		if err := s.site.Start(n); err != nil {
			s.note("%v", err)
			return failed
		}
	}
	back := s.since()
	s.note("all processes were started again")
	steps.Wait()
	start := s.site.Evidence.Served[0].Began
	for _, one := range s.site.Evidence.Served {
		if one.Began.Before(start) {
			start = one.Began
		}
	}
	asked, whole := s.served(start, 0, closing)
	s.note("before the closing fault: %d of %d requests were served", whole, asked)
	if s.trouble {
		a, w := s.served(start, losses+gap+6*time.Second, closing)
		s.note("of these, from 6 s after the second loss on: %d of %d", w, a)
	}
	after := back - begin + recovery
	later, ok := s.served(start, after, after+measured)
	s.note("sent more than %v after the processes were back: %d of %d were served", recovery, ok, later)
	s.note("%d engines are left", len(s.site.Engines()))
	s.audited()
	if later == 0 || 4*whole < asked {
		return failed
	}
	if 4*ok < later {
		s.note("RECOVER: a quarter is the least")
		return broken
	}
	return held
}

// founding: one machine of the core is lost for good right after it was started for the
// first time, and an empty one comes a second later at another address.
func founding(ctx context.Context, s *stage) int {
	steps := lifecycle.New(ctx)
	defer steps.Stop()
	settled := s.since()
	if s.trouble {
		cores := s.site.Cores()
		lost := cores[len(cores)-1]
		s.note("%s is lost for good; another machine comes in its place", lost.Name)
		if err := s.site.Replace(ctx, lost, time.Second, false); err != nil {
			s.note("%v", err)
			return failed
		}
		settled = s.since()
		s.note("the other machine was started")
	}
	bounds := s.site.Spec.Bounds
	settled += time.Duration(bounds.InTouch) * time.Millisecond
	within := time.Duration(bounds.AckWithin+3*(len(s.site.Spec.Classes)+s.site.Spec.Idle)) * time.Millisecond
	s.note("the core counts as settled from %.2f s on; the first configuration is to be acknowledged by %.2f s", settled.Seconds(), (settled + within).Seconds())
	taken := s.first(ctx, 60*time.Second)
	at := s.since()
	if taken {
		s.until(ctx, 10*time.Second) // traffic starts that long after the machines
		s.load.Run(ctx, 10*time.Second)
		asked, whole := 0, 0
		for _, one := range s.site.Evidence.Served {
			asked++
			if one.Whole {
				whole++
			}
		}
		s.note("%d of %d requests were served", whole, asked)
	}
	if !taken || at > settled+within {
		s.note("Acks: not acknowledged within %v of a settled core", within)
		return broken
	}
	s.audited()
	return held
}

// rollback: the operator sends the first configuration once more, whole and as it was, on
// top of a newer one. Its version is not above the current one.
func rollback(ctx context.Context, s *stage) int {
	if !s.first(ctx, 20*time.Second) {
		return failed
	}
	steps := lifecycle.New(ctx)
	defer steps.Stop()
	steps.Start(func(ctx context.Context) { s.load.Run(ctx, 15*time.Second) })
	lifecycle.Pause(ctx, 3*time.Second)
	var old platform.Config
	for _, act := range s.site.Evidence.Acts {
		if act.Config != nil {
			old = *act.Config
		}
	}
	changed := s.site.Edit(ctx, s.load, "idle")
	s.note("version %d on top of %d: %d", changed.Version, changed.Based, changed.Status)
	if changed.Status/100 != 2 {
		return failed
	}
	lifecycle.Pause(ctx, 3*time.Second)
	code := held
	if s.trouble {
		again := s.site.Put(ctx, changed.Version, old, "old_version", 4*time.Second)
		s.note("version %d on top of %d, which is current: %d", again.Version, again.Based, again.Status)
		switch again.Status / 100 {
		case 2:
			s.note("CONFIG: an invalid configuration was acknowledged")
			code = broken
		case 4:
		default:
			code = failed
		}
	}
	lifecycle.Pause(ctx, 3*time.Second)
	s.site.ReadBack(ctx, true)
	steps.Wait()
	s.audited()
	return code
}

// manyRoutes: the configuration grows by 350 routes at a time, as the sheet's big_config does.
func manyRoutes(ctx context.Context, s *stage) int {
	const (
		more  = 350
		steps = 12
	)
	if !s.first(ctx, 20*time.Second) {
		return failed
	}
	s.until(ctx, 8*time.Second)
	grow := steps
	if !s.trouble {
		grow = 1
	}
	for range grow {
		act := s.site.Big(ctx, s.load, more)
		routes := len(act.Config.Routes)
		s.note("version %d on top of %d, %d routes: %d", act.Version, act.Based, routes, act.Status)
		if act.Status/100 != 2 {
			within := time.Duration(s.site.Spec.Bounds.AckWithin+3*routes) * time.Millisecond
			lifecycle.Pause(ctx, within)
			s.site.ReadBack(ctx, true)
			s.audited()
			s.note("Acks: a valid configuration is not acknowledged after %v of calm", within)
			return broken
		}
		lifecycle.Pause(ctx, time.Second)
	}
	s.site.ReadBack(ctx, true)
	s.audited()
	return held
}
