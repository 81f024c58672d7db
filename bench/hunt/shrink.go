package hunt

import (
	"slices"

	"linedrum.example/linedrum/bench/platform"
)

// Shrink takes events from a day, and what else makes it special, as long as one of
// its rules is still broken, with so many plays at most. It gives the smallest day
// that was found, and how many plays that took.
func Shrink(d platform.Day, rules []string, most int, play Player) (platform.Day, int) {
	s := &shrinker{day: d, rules: rules, most: most, play: play}
	s.events()
	s.plain()
	s.fewer()
	return s.day, s.plays
}

type shrinker struct {
	day   platform.Day
	rules []string
	most  int
	plays int
	play  Player
}

// try keeps a smaller day if it still fails.
func (s *shrinker) try(d platform.Day) bool {
	if s.plays >= s.most {
		return false
	}
	s.plays++
	for _, rule := range s.play(d).Rules() {
		if slices.Contains(s.rules, rule) {
			s.day = d
			return true
		}
	}
	return false
}

// events takes runs of events away, at first half of them, at last each by itself.
func (s *shrinker) events() {
	for size := (len(s.day.Events) + 1) / 2; size >= 1; size /= 2 {
		for at := 0; at < len(s.day.Events); {
			d := s.day
			d.Events = slices.Delete(slices.Clone(d.Events), at, min(at+size, len(d.Events)))
			if !s.try(d) {
				at += size
			}
		}
	}
}

// plain takes the closing fault and the further classes away.
func (s *shrinker) plain() {
	if s.day.Closing != "none" {
		d := s.day
		d.Closing = "none"
		s.try(d)
	}
	if len(s.day.Classes) > 0 {
		d := s.day
		d.Classes = nil
		s.try(d)
	}
}

// fewer has each event strike or come once.
func (s *shrinker) fewer() {
	for i, e := range s.day.Events {
		if e.Count <= 1 {
			continue
		}
		d := s.day
		d.Events = slices.Clone(d.Events)
		d.Events[i].Count = 1
		s.try(d)
	}
}
