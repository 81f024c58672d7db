package register

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBrief(t *testing.T) {
	Convey("A brief query is answered with the keys that the disk holds otherwise, and no others", t, func() {
		a := formed(&disk{})
		mine := epoch(3, "h")
		for _, key := range []string{"same", "newer", "other", "fresh"} {
			serial := uint64(5)
			if key == "newer" {
				serial = 6
			}
			So(say(a, Message{Kind: KindAccept, Key: key, Epoch: mine, Cell: Entry{Epoch: mine, Serial: serial, Op: "o", Value: []byte(key)}}).Yes, ShouldBeTrue)
		}
		ask := Message{Kind: KindQuery, Ask: 7}
		ask.Set.Serial = 1
		ask.Brief([]KeyEntry{
			{Key: "same", Entry: Entry{Epoch: mine, Serial: 5}}, {Key: "newer", Entry: Entry{Epoch: mine, Serial: 5}},
			{Key: "other", Entry: Entry{Epoch: epoch(3, "g"), Serial: 5}}, {Key: "fresh"}, {Key: "never"},
		})
		var got []Message
		a.Handle(ask, func(m Message) { got = append(got, m) })
		So(got, ShouldHaveLength, 1)
		So(got[0].Again, ShouldBeTrue)
		values := map[string]string{}
		for _, kc := range got[0].Entries {
			values[kc.Key] = string(kc.Entry.Value)
		}
		So(values, ShouldResemble, map[string]string{"newer": "newer", "other": "other", "fresh": "fresh"})

		ask.Digests = ask.Digests[1:]
		a.Handle(ask, func(m Message) { got = append(got, m) })
		So(got, ShouldHaveLength, 1)
	})
}
