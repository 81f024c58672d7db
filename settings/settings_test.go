package settings

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const sound = `{"fleet":"f","listen":"127.0.0.1:1","http":"127.0.0.1:2","site":"s","seeds":[],"founders":["127.0.0.1:1"],"data":"d","size":3}`

func TestParse(t *testing.T) {
	Convey("sound settings come over the defaults, and flags over both", t, func() {
		s, faults := Parse([]byte(sound))
		So(faults, ShouldBeEmpty)
		So(s.Bounds.RetryExtra, ShouldEqual, 60)
		s, faults = ParseOver([]byte(strings.Replace(sound, `"site":"s",`, "", 1)), func(s *Settings) { s.Site = "flagged" })
		So(faults, ShouldBeEmpty)
		So(s.Site, ShouldEqual, "flagged")
	})
	Convey("every fault is named with its key", t, func() {
		for _, c := range []struct{ from, to, place string }{
			{`"site":"s"`, `"sight":"s"`, "sight"},
			{`"site":"s",`, ``, "site"},
			{`"127.0.0.1:2"`, `"localhost:2"`, "http"},
			{`"127.0.0.1:2"`, `"127.0.0.1:1"`, "http"},
			{`"127.0.0.1:2"`, `"0.0.0.0:2"`, "http"},
			{`"seeds":[]`, `"seeds":["x"]`, "seeds[0]"},
			{`["127.0.0.1:1"]`, `["127.0.0.1:1","127.0.0.1:1"]`, "founders[1]"},
			{`,"data":"d"`, ``, "data"},
			{`"size":3`, `"size":0`, "size"},
			{`"size":3`, `"size":3,"bounds":{"in_force":"1ms"}`, "bounds.in_force"},
			{`"size":3`, `"size":3,"bounds":{"in_force":"20s","retry_window":"10s"}`, "bounds.retry_window"},
		} {
			_, faults := Parse([]byte(strings.Replace(sound, c.from, c.to, 1)))
			found := false
			for _, f := range faults {
				found = found || f.Place == c.place
			}
			SoMsg(c.to+" -> "+faults.Error(), found, ShouldBeTrue)
		}
	})
}
