package wal

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// lazyFolder plants a fault: a folder is said to be synced, and is not.
type lazyFolder struct{ *steps }

func (d lazyFolder) SyncDir() error { return d.take() }

// stubborn plants a fault: a sync that failed is tried again on the same file, and what
// the second try says is believed.
type stubborn struct{ *steps }

func (d stubborn) Create(name string) (File, error) {
	f, err := d.steps.Create(name)
	if err != nil {
		return nil, err
	}
	return stubbornFile{f}, nil
}

type stubbornFile struct{ File }

func (f stubbornFile) Sync() error {
	if err := f.File.Sync(); err == nil {
		return nil
	}
	return f.File.Sync()
}

// lost counts the ways in which a power loss at any step of a day takes what was said.
func lost(on func(d *steps) Files, refuse [2]int) (ways int) {
	for strike := 1; ; strike++ {
		d := newSteps()
		d.strike, d.refuse = strike, refuse
		o, err := startOwner(on(d))
		if err == nil {
			o.day()
		}
		if d.step < strike {
			return ways
		}
		if err != nil {
			continue
		}
		for _, left := range d.powerLosses() {
			if holds(left, o.said, o.state) != nil {
				ways++
			}
		}
	}
}

// refusals counts over single steps that are refused, every third.
func refusals(on func(d *steps) Files) (ways int) {
	for at := 1; at <= 40; at += 3 {
		ways += lost(on, [2]int{at, at + 1})
	}
	return ways
}

func TestPlanted(t *testing.T) {
	Convey("a loss of power at each step takes nothing that was said", t, func() {
		right := func(d *steps) Files { return d }
		So(lost(right, [2]int{})+refusals(right), ShouldEqual, 0)
	})
	Convey("it does where a snapshot's folder is not synced, or a failed sync is tried again", t, func() {
		unsynced := lost(func(d *steps) Files { return lazyFolder{d} }, [2]int{})
		retried := refusals(func(d *steps) Files { return stubborn{d} })
		t.Logf("ways to lose what was said: folder not synced %d, sync tried again %d", unsynced, retried)
		So(unsynced, ShouldBeGreaterThan, 0)
		So(retried, ShouldBeGreaterThan, 0)
	})
}
