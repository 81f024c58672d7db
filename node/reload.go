package node

import (
	"linedrum.example/linedrum/settings"
	"linedrum.example/linedrum/strict"
)

// Reload takes new settings while the node runs. What cannot change without a
// restart is named as a fault, and then nothing changes.
func (n *Node) Reload(fresh settings.Settings) strict.Faults {
	var faults strict.Faults
	old := n.settings
	for _, fixed := range []struct{ place, was, is string }{
		{"fleet", old.Fleet, fresh.Fleet}, {"listen", old.Listen, fresh.Listen}, {"http", old.HTTP, fresh.HTTP},
		{"site", old.Site, fresh.Site}, {"data", old.Data, fresh.Data},
	} {
		if fixed.was != fixed.is {
			faults.Add(fixed.place, "cannot change from %q to %q without a restart", fixed.was, fixed.is)
		}
	}
	if old.Bounds != fresh.Bounds {
		faults.Add("bounds", "cannot change without a restart")
	}
	if old.Limits != fresh.Limits {
		faults.Add("limits", "cannot change without a restart")
	}
	if len(faults) > 0 {
		return faults
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.Reload(fresh)
	n.budget.Size = fresh.Size
	return nil
}
