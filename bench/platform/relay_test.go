package platform

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRelayedReads has a fleet that is too large for every node to tell every other one what
// is read: its nodes hear of that by relays all the same, also while some are killed, and find
// the shared parts and the short queues. First pieces took 73 to 77 ms in the middle where
// nodes knew their own goes alone.
func TestRelayedReads(t *testing.T) {
	at, s := seconds, seconds
	calm := day("relays", 0.8, 16)
	calm.Nodes = 9
	struck := day("relays-killed", 0.8, 20, Event{At: at(3), Kind: "kill", Core: true, For: s(2)}, Event{At: at(12), Kind: "kill", Count: 2, For: s(3)})
	struck.Nodes = 9
	for _, d := range []Day{calm, struck} {
		res, err := play(t, d, Product)
		Convey(d.Name, t, func() {
			So(err, ShouldBeNil)
			So(res.Breaches, ShouldBeEmpty)
			read := 0
			for _, a := range res.Evidence.Arrivals {
				read += a.Read
			}
			t.Logf("%s: %d of %d tokens were of shared parts read again; %+v", d.Name, res.Evidence.Reread, read, res.Sum["all"])
			So(res.Sum["all"].P50, ShouldBeLessThan, 60*time.Millisecond)
		})
	}
}
