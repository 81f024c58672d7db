package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"linedrum.example/linedrum/bench/process"
	"linedrum.example/linedrum/lifecycle"
	"linedrum.example/linedrum/link"
	"linedrum.example/linedrum/node"
)

// nobody is a process that does nothing.
type nobody struct{}

func (nobody) Stop() {}
func (nobody) Kill() {}

func idle(context.Context, []byte, node.Host, io.Writer) (process.Life, error) { return nobody{}, nil }

// scene is a site of one zone without nodes, its engines, and somebody to ask.
type scene struct {
	*Site
	t    *testing.T
	from link.Network
}

func onScene(t *testing.T, change func(*Spec), act func(s *scene)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		spec := Desk(1)
		spec.Zones, spec.Places, spec.Engines = spec.Zones[:1], nil, 0
		change(&spec)
		g := NewMemory(1, idle)
		s, err := Begin(spec, g, nil)
		if err != nil {
			t.Error(err)
			return
		}
		act(&scene{s, t, g.Net(s.clientIP["hall-a"])})
		s.Stop()
		g.crew.Stop()
	})
}

func (s *scene) raise(stage string, cold bool) *Engine {
	e, err := s.Raise("hall-a", "", "v1", stage, cold)
	if err != nil {
		s.t.Error(err)
	}
	return e
}

// says sends a request and gives the status and the text.
func (s *scene) says(e *Engine, method, path string, body string, header ...string) (int, string) {
	h := http.Header{}
	for i := 0; i < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	status, _, text, err := s.ask(ctx, s.clientIP["hall-a"], method, e.Addr, path, h, []byte(body))
	if err != nil {
		return status, "broken: " + string(text)
	}
	return status, string(text)
}

func prompt(attempt, parts string, out int, header ...string) []string {
	return append([]string{HeaderAttempt, attempt, HeaderModel, "m", HeaderTokens, fmt.Sprintf("%d,%d", tokensOf(parseParts(parts)), out), HeaderParts, parts, HeaderLeft, "9000"}, header...)
}

func handleOf(text string) string {
	_, rest, _ := strings.Cut(text, `"prompt_handle":"`)
	id, _, _ := strings.Cut(rest, `"`)
	return id
}

// TestEngine asks engines as the platform's page says that they answer.
func TestEngine(t *testing.T) {
	type seen struct {
		status int
		text   string
	}
	got := map[string]seen{}
	var took [3]time.Duration
	onScene(t, func(*Spec) {}, func(s *scene) {
		reader, writer := s.raise(StagePrompt, false), s.raise(StageGenerate, false)
		note := func(name string, e *Engine, method, path, body string, header ...string) string {
			status, text := s.says(e, method, path, body, header...)
			got[name] = seen{status, text}
			return text
		}
		id := handleOf(note("read", reader, "POST", "/x", "b", prompt("a1", "p:400,q:100", 3, HeaderStage, StagePrompt)...))
		note("write", writer, "POST", "/x", "b", prompt("a1", "p:400,q:100", 3, HeaderSource, reader.Addr+"/"+id)...)
		note("taken once", writer, "POST", "/x", "b", prompt("a2", "p:400,q:100", 3, HeaderSource, reader.Addr+"/"+id)...)
		note("wrong stage", reader, "POST", "/x", "b", prompt("a3", "p:400", 3)...)
		note("other engine", writer, "POST", "/x", "b", prompt("a4", "p:400", 3, HeaderExpect, "i-other")...)
		id = handleOf(note("read again", reader, "POST", "/x", "b", prompt("a5", "p:400", 3, HeaderStage, StagePrompt)...))
		note("freed", reader, "DELETE", "/-/kv-handle/"+id, "")
		note("gone", writer, "POST", "/x", "b", prompt("a5", "p:400", 3, HeaderSource, reader.Addr+"/"+id)...)
		for i, parts := range []string{"r:20000,s:100", "r:20000,t:100", "u:20000,r:20000"} {
			began := time.Now()
			note("alone", writer, "POST", "/x", "b", prompt(fmt.Sprintf("b%d", i), parts, 1)...)
			took[i] = time.Since(began)
		}
		note("too large", writer, "POST", "/x", "b", prompt("a6", "v:300000", 3)...)
		note("no id", writer, "POST", "/x", "b")
		note("resumed", writer, "POST", "/x", "b", prompt("a7", "p:400", 30, HeaderResume, "12")...)
		note("no holder", writer, "POST", "/-/order", `{"operation":"stage","stage":"prompt","fence":4}`)
		note("wrong count", writer, "POST", "/-/order", `{"operation":"stage","stage":"prompt","holder":"h","fence":4,"expected":7}`)
		note("order", writer, "POST", "/-/order", `{"operation":"stage","stage":"prompt","holder":"h","fence":4,"expected":0}`)
		note("switching", writer, "POST", "/x", "b", prompt("a8", "p:400", 3, HeaderStage, StagePrompt)...)
		note("busy", writer, "POST", "/-/order", `{"operation":"stage","stage":"generate","holder":"h","fence":5}`)
		lifecycle.Pause(context.Background(), 2*time.Second)
		note("switched", writer, "POST", "/x", "b", prompt("a9", "p:400", 3, HeaderStage, StagePrompt)...)
		note("in force", writer, "POST", "/-/order", `{"operation":"stage","stage":"prompt","holder":"h","fence":5}`)
		lifecycle.Pause(context.Background(), 200*time.Millisecond)
		note("report", writer, "GET", "/-/report", "")
		lifecycle.Pause(context.Background(), 6*time.Second)
		note("lapsed", writer, "GET", "/-/report", "")
		note("health", writer, "GET", "/health", "")
	})
	Convey("an engine answers as the page says", t, func() {
		for name, status := range map[string]int{
			"read": 200, "write": 200, "taken once": 503, "wrong stage": 421, "other engine": 421, "freed": 200, "gone": 503, "too large": 503, "no id": 400, "resumed": 200,
			"no holder": 400, "wrong count": 409, "order": 202, "switching": 503, "busy": 409, "switched": 200, "in force": 200, "health": 200,
		} {
			SoMsg(name+": "+got[name].text, got[name].status, ShouldEqual, status)
		}
		So(got["write"].text, ShouldContainSubstring, "id: 3\ndata: a1 ")
		So(got["resumed"].text, ShouldStartWith, "id: 13\n")
		So(got["resumed"].text, ShouldContainSubstring, "id: 30\n")
		So(got["report"].text, ShouldContainSubstring, `"stage":"prompt"`)
		So(got["report"].text, ShouldContainSubstring, `"call_count":1`)
		So(got["report"].text, ShouldContainSubstring, `"prompt_handles":1`)
		So(got["lapsed"].text, ShouldContainSubstring, `"prompt_handles":0`)
	})
	Convey("a kept part is not read again, if those before it are kept", t, func() {
		So(took[0], ShouldBeGreaterThan, 700*time.Millisecond) // 20100 tokens at half of 56.9 a ms
		So(took[1], ShouldBeLessThan, 50*time.Millisecond)
		So(took[2], ShouldBeGreaterThan, 1400*time.Millisecond)
	})
}

// TestEngineTroubles has connections and answers go wrong.
func TestEngineTroubles(t *testing.T) {
	resets, served, excess, late := 0, 0, 0, 0
	var broken, garbage, dark string
	var pages, listed int
	var states []string
	onScene(t, func(s *Spec) { s.Service.MaxConns, s.Rate = 3, 5 }, func(s *scene) {
		e := s.raise(StageGenerate, false)
		var lines []*line
		for range 5 {
			c, err := s.from.Dial(context.Background(), e.Addr)
			if err != nil {
				resets++
				continue
			}
			lines = append(lines, newLine(c))
		}
		lifecycle.Pause(context.Background(), 50*time.Millisecond)
		for _, l := range lines {
			_, _ = fmt.Fprintf(l, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
			if _, err := http.ReadResponse(l.in, nil); err != nil {
				resets++
			} else {
				served++
			}
			_ = l.Close()
		}
		lifecycle.Pause(context.Background(), 50*time.Millisecond)
		e.Set(Trouble{Cut: 1})
		_, broken = s.says(e, "POST", "/x", "b", prompt("aaaa1", "p:4", 30)...)
		e.Set(Trouble{Garbage: 1})
		_, garbage = s.says(e, "POST", "/x", "b", prompt("aaaa2", "p:4", 30)...)
		for _, trouble := range []Trouble{{Excess: 1}, {LateBit: 1}} {
			e.Set(trouble)
			c, _ := s.from.Dial(context.Background(), e.Addr)
			l := newLine(c)
			_, _ = fmt.Fprintf(l, "POST /x HTTP/1.1\r\nHost: x\r\n%s: aaaa3\r\n%s: 4,1\r\n%s: p:4\r\n\r\n", HeaderAttempt, HeaderTokens, HeaderParts)
			res, err := http.ReadResponse(l.in, nil)
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.ReadAll(res.Body)
			began := time.Now()
			if _, err := l.in.Peek(8); err == nil {
				excess++
			}
			if time.Since(began) > 20*time.Millisecond {
				late++
			}
			_ = l.Close()
		}
		e.Set(Trouble{Dark: true})
		_, dark = s.says(e, "GET", "/health", "")
		e.Set(Trouble{})
		// The list, page by page, as it was a while ago, and not too often.
		for range 7 {
			s.raise(StageGenerate, true)
		}
		look := func() {
			token := ""
			pages, listed = 0, 0
			for {
				_, _, text, _ := s.ask(context.Background(), s.clientIP["hall-a"], "GET", s.cloud, "/servers?page_token="+token, nil, nil)
				pages++
				listed += strings.Count(string(text), `"id"`)
				states = append(states, fmt.Sprint(strings.Count(string(text), `"draining"`)))
				_, rest, _ := strings.Cut(string(text), `"next_token":"`)
				token, _, _ = strings.Cut(rest, `"`)
				if token == "" {
					return
				}
			}
		}
		s.booted = true
		s.Leave(e)
		look()
		states = append(states, fmt.Sprint("at once ", listed))
		lifecycle.Pause(context.Background(), time.Second)
		look()
		for range 6 {
			status, _, _, _ := s.ask(context.Background(), s.clientIP["hall-a"], "GET", s.cloud, "/servers", nil, nil)
			if status == 429 {
				states = append(states, "over")
				break
			}
		}
		lifecycle.Pause(context.Background(), 8*time.Second)
		look()
		states = append(states, fmt.Sprint("later ", listed))
	})
	Convey("connections over the number are reset", t, func() {
		So(served, ShouldEqual, 3)
		So(resets, ShouldEqual, 2)
	})
	Convey("answers break, are none, or are followed by more", t, func() {
		So(broken, ShouldStartWith, "broken: ")
		So(garbage, ShouldStartWith, "broken: ")
		So(excess, ShouldEqual, 2)
		So(late, ShouldEqual, 1)
		So(dark, ShouldStartWith, "broken: ")
	})
	Convey("the list has pages, a lag and a rate", t, func() {
		So(states, ShouldResemble, []string{"0", "at once 1", "1", "0", "over", "0", "0", "later 7"})
	})
}

// TestEndedEngine has engines end while they work: what they broke off is theirs, whichever of
// its two ends hears of it first.
func TestEndedEngine(t *testing.T) {
	broken, count := 0, 0
	for range 20 {
		onScene(t, func(s *Spec) { s.Plain = []PlainService{{Name: "relay", Slots: 4, MaxConns: 9, Work: 4000}} }, func(s *scene) {
			writer, relay := s.raise(StageGenerate, false), s.enginesOf("relay")[0]
			group := lifecycle.New(context.Background())
			group.Start(func(context.Context) {
				s.says(writer, http.MethodPost, "/x", "b", prompt("00000000000000a1", "0a:100", 500)...)
			})
			group.Start(func(context.Context) {
				s.says(writer, http.MethodPost, "/x", "b", prompt("00000000000000a2", "0b:100000", 500)...)
			})
			group.Start(func(context.Context) {
				s.says(relay, http.MethodPost, "/x", "b", HeaderAttempt, "00000000000000a3", HeaderLeft, "9000")
			})
			lifecycle.Pause(context.Background(), 300*time.Millisecond)
			writer.stop()
			relay.stop()
			group.Wait()
			for _, a := range s.Evidence.Arrivals {
				count++
				if a.Broken {
					broken++
				}
			}
		})
	}
	Convey("an engine that ends has broken off what it worked on", t, func() {
		So(count, ShouldEqual, 60)
		So(broken, ShouldEqual, count)
	})
}
