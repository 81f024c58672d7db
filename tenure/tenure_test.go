package tenure

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRecord(t *testing.T) {
	Convey("A term belongs to one holder: it stays with it, and rises with the next one", t, func() {
		first := Base{}.Next("a")
		So(first, ShouldResemble, Record{"a", firstTerm})
		So(Base{Record: first, Serial: 9, Epoch: 12}.Next("a"), ShouldResemble, first)
		So(Base{Record: first, Serial: 9, Epoch: 2}.Next("b"), ShouldResemble, Record{"b", 10})
		So(Base{Record: Record{"b", 40}, Serial: 9, Epoch: 2}.Next("a"), ShouldResemble, Record{"a", 41})
	})
	Convey("It is above the fences of a release that knew no terms", t, func() {
		So(Base{Serial: 9, Epoch: 12}.Next("a"), ShouldResemble, Record{"a", 13})
	})
}

func TestTenure(t *testing.T) {
	wait := Wait(time.Second, 3*time.Second)
	Convey("The first holder of a register orders at once", t, func() {
		So(New("a", wait).May(Record{"a", firstTerm}, time.Minute), ShouldBeTrue)
	})
	Convey("A new holder waits for a permit and a lease, and a node that came back as well", t, func() {
		a := New("a", wait)
		So(a.May(Record{"a", 7}, time.Minute), ShouldBeFalse)
		So(a.May(Record{"a", 7}, time.Minute+4*time.Second), ShouldBeFalse)
		So(a.May(Record{"a", 7}, time.Minute+wait), ShouldBeTrue)
		So(a.May(Record{"b", 8}, time.Minute+wait), ShouldBeFalse)
		So(a.May(Record{"a", 9}, time.Minute+wait), ShouldBeFalse)
		So(New("a", wait).May(Record{"a", 7}, time.Minute+wait), ShouldBeFalse)
	})
	Convey("A table without a term is nobody's", t, func() {
		So(New("", wait).May(Record{}, time.Minute), ShouldBeFalse)
	})
	Convey("An order goes out while nothing newer of another term shows", t, func() {
		So(Still(4, 6, Base{Record: Record{"a", 4}, Serial: 7}), ShouldBeTrue)
		So(Still(4, 6, Base{Record: Record{"b", 3}, Serial: 5}), ShouldBeTrue)
		So(Still(4, 6, Base{Record: Record{"b", 7}, Serial: 7}), ShouldBeFalse)
		So(Still(4, 6, Base{Record: Record{"b", 7}, Serial: 6}), ShouldBeFalse)
	})
}
