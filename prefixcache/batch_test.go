package prefixcache

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/engine"
)

func announcement(server string) Announcement {
	a := AnnouncementOf([]engine.Part{{ID: "terms", Tokens: 2500}, {ID: "roaster", Tokens: 3800}, {ID: "own", Tokens: 3000}})
	a.Source, a.Server, a.Writer, a.Takes = NameHash("node", ""), NameHash(server, ""), NameHash("w", ""), 120*time.Millisecond
	a.Expected, a.Took = 100*time.Millisecond, 230*time.Millisecond
	return a
}

func TestBatch(t *testing.T) {
	Convey("Announcements come over as they were, in about 45 bytes each", t, func() {
		b := Batch{PassOn: true, Announcements: []Announcement{announcement("r"), announcement("s"), {Source: 1, Server: 2}}}
		got, err := DecodeBatch(b.Encode())
		So(err, ShouldBeNil)
		So(got, ShouldResemble, b)
		So(len(b.Encode()), ShouldBeLessThan, 3*45)
	})
	Convey("Half of one is refused, a notice is none, and too many are cut", t, func() {
		whole := Batch{Announcements: []Announcement{announcement("r")}}.Encode()
		for i := range whole {
			_, err := DecodeBatch(whole[:i])
			So(err, ShouldEqual, ErrNotice)
		}
		_, err := DecodeBatch(append(whole, 0))
		So(err, ShouldEqual, ErrNotice)
		_, err = DecodeBatch(notice().Encode())
		So(err, ShouldEqual, ErrNotice)
		_, err = DecodeNotice(whole)
		So(err, ShouldEqual, ErrNotice)
		got, err := DecodeBatch(Batch{Announcements: make([]Announcement, 100)}.Encode())
		So(err, ShouldBeNil)
		So(len(got.Announcements), ShouldEqual, mostAnnouncements)
	})
	Convey("What is announced is believed like a notice; the own part counts against the memory alone", t, func() {
		b, a := New(), announcement("r")
		parts := []engine.Part{{ID: "terms", Tokens: 2500}, {ID: "roaster", Tokens: 3800}, {ID: "other", Tokens: 100}}
		b.Announced(a, "r", "1", "w", "2", 20000, time.Second)
		So(b.Tokens("r", "1", parts), ShouldEqual, 6300)
		So(b.Tokens("w", "2", parts), ShouldEqual, 6300)
		So(b.Backlog("r", "1", time.Second), ShouldEqual, 120*time.Millisecond)
		So(b.Backlog("w", "2", time.Second), ShouldEqual, 0)
		for range 6 {
			other := AnnouncementOf([]engine.Part{{ID: "own", Tokens: 3000}})
			b.Announced(other, "r", "1", "", "", 20000, time.Second)
		}
		So(b.Tokens("r", "1", parts), ShouldEqual, 0)
	})
}

func FuzzDecodeBatch(f *testing.F) {
	f.Add(Batch{PassOn: true, Announcements: []Announcement{announcement("r"), announcement("s")}}.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := DecodeBatch(b)
		if err != nil {
			return
		}
		again, err := DecodeBatch(got.Encode())
		if err != nil || len(again.Announcements) != len(got.Announcements) {
			t.Fatalf("%v comes back as %v, %v", got, again, err)
		}
	})
}
