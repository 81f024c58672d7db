package httpapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"linedrum.example/linedrum/control"
	"linedrum.example/linedrum/core"
	"linedrum.example/linedrum/desk"
	"linedrum.example/linedrum/engine"
	"linedrum.example/linedrum/event"
	"linedrum.example/linedrum/lease"
	"linedrum.example/linedrum/register"
	"linedrum.example/linedrum/serve"
	"linedrum.example/linedrum/strict"
	"linedrum.example/linedrum/verdict"
)

// maxFile bounds what operators and the platform send.
const maxFile = 8 << 20

func faultsError(faults strict.Faults, what string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusUnprocessableEntity, Code: "faults",
		Field: faults[0].Place, Reason: what + " is at fault: " + faults[0].Reason, Cause: faults}
}

// operator bounds an operator's call: what is not decided in time is answered by trying
// elsewhere (design.md section 4.7).
func operator(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := control.AnswerWithin(r.Context(), r.ContentLength)
		defer cancel()
		serve(w, r.WithContext(ctx))
	}
}

// standing tells whether an answer may still rest on what a majority showed. If not, it
// replies: sent tells that something may have been changed.
func (f *Face) standing(w http.ResponseWriter, shown lease.Holder, sent bool) bool {
	if shown != nil && shown.Held() {
		return true
	}
	e := &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: "stale",
		Reason: "what a majority showed is too old by now: ask another node", RetryAfter: time.Second}
	if sent {
		e.Verdict, e.Status = verdict.MayHaveRun, http.StatusGatewayTimeout
	}
	f.fail(w, e)
	return false
}

// passed is the reply to an edit that lost, with the serial that it lost to.
func (f *Face) passed(w http.ResponseWriter, serial uint64, id string, shown lease.Holder) {
	if !f.standing(w, shown, false) {
		return
	}
	e := &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusConflict, Code: "serial-passed",
		Reason: "the serial in force is " + strconv.FormatUint(serial, 10) + ": this edit was not based on it"}
	p := problemOf(e, id)
	p.Error.Serial = &serial
	f.failWith(w, e, p)
}

func (f *Face) getDesk(w http.ResponseWriter, r *http.Request) {
	shown, fault := f.control.DeskInForce(r.Context())
	if fault != nil {
		f.fail(w, fault)
		return
	}
	stored := shown.Value()
	file := stored.File
	if stored.Serial == 0 {
		file = json.RawMessage("null")
	}
	if f.standing(w, shown, false) {
		writeJSON(w, http.StatusOK, map[string]any{"serial": stored.Serial, "file": file})
	}
}

// getWindow names the window that new once-only keys are made in (section 3.7).
func (f *Face) getWindow(w http.ResponseWriter, _ *http.Request) {
	inForce, held := f.n.InForce()
	windows := inForce.Value().Windows
	switch {
	case !held:
		f.refuse(w, serve.NoLease(f.path.ComeBackAfter()))
		return
	case windows.Open == 0:
		f.refuse(w, serve.ComeBack("no-window", "no window for once-only keys is open yet", time.Second))
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"window": windows.Open, "floor": windows.Floor})
}

// basedOn reads the serial that an edit starts from.
func basedOn(r *http.Request) (uint64, *verdict.Error) {
	text := r.URL.Query().Get("based_on")
	serial, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, serve.Bad(http.StatusBadRequest, "bad-field", "based_on", "the query must say based_on=SERIAL, the serial that this edit starts from; 0 for the first")
	}
	return serial, nil
}

func (f *Face) applyID(r *http.Request) (string, *verdict.Error) {
	id := r.URL.Query().Get("id")
	if id == "" {
		return f.n.OpID(), nil
	}
	if len(id) > 128 {
		return "", serve.Bad(http.StatusBadRequest, "bad-field", "id", "an id is at most 128 bytes")
	}
	return id, nil
}

// putDesk takes a whole desk file, or nothing of it (section 4.3).
func (f *Face) putDesk(w http.ResponseWriter, r *http.Request) {
	base, fault := basedOn(r)
	if fault == nil {
		var id string
		if id, fault = f.applyID(r); fault == nil {
			f.applyDesk(w, r, base, id)
			return
		}
	}
	f.fail(w, fault)
}

func (f *Face) applyDesk(w http.ResponseWriter, r *http.Request, base uint64, id string) {
	w.Header().Set("X-Linedrum-Apply", id)
	body, fault := f.readBody(w, r, maxFile)
	if fault != nil {
		f.fail(w, fault)
		return
	}
	if _, faults := desk.Parse(body); len(faults) > 0 {
		f.n.Log().Say(event.DeskBounced, event.Fields{"faults": len(faults), "first": faults[0].String()})
		f.fail(w, faultsError(faults, "the desk file"))
		return
	}
	done, fault := f.control.ApplyDesk(r.Context(), control.Edit{File: body, Base: base, ID: id})
	switch {
	case fault != nil:
		f.fail(w, fault)
	case done.Outcome == register.Done && !f.standing(w, done.Shown, true):
	case done.Outcome == register.Done && done.Repeated:
		writeJSON(w, http.StatusOK, map[string]any{"serial": done.Serial, "id": id, "repeated": true})
	case done.Outcome == register.Done:
		writeJSON(w, http.StatusOK, map[string]any{"serial": done.Serial, "id": id})
	case done.Outcome == register.Conflict:
		f.passed(w, done.Serial, id, done.Shown)
	case done.Outcome == register.NotDone:
		f.fail(w, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: "no-majority",
			Reason: "no majority of the disks replied; nothing was changed", RetryAfter: time.Second})
	default:
		f.fail(w, &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusGatewayTimeout, Code: "outcome-unknown",
			Reason: "the edit may have been taken: ask for its outcome, or send it again with the same id", RetryAfter: time.Second})
	}
}

// deskOutcome says what became of an apply whose reply was lost.
func (f *Face) deskOutcome(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	if id == "" {
		f.fail(w, serve.Bad(http.StatusBadRequest, "bad-field", "id", "the query must say id=ID, the id of the apply"))
		return
	}
	shown, fault := f.control.DeskInForce(r.Context())
	if fault != nil {
		f.fail(w, fault)
		return
	}
	stored := shown.Value()
	serial, had := stored.Find(id)
	out := map[string]any{"id": id, "accepted": had, "serial_in_force": stored.Serial}
	if had {
		out["serial"] = serial
	}
	if f.standing(w, shown, false) {
		writeJSON(w, http.StatusOK, out)
	}
}

// putEngines takes the platform's list; an older one is refused by its own serial.
func (f *Face) putEngines(w http.ResponseWriter, r *http.Request) {
	body, fault := f.readBody(w, r, maxFile)
	if fault != nil {
		f.fail(w, fault)
		return
	}
	list, faults := engine.ParseList(body)
	if len(faults) > 0 {
		f.fail(w, faultsError(faults, "the list of engines"))
		return
	}
	value, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	var held engine.List
	same := false
	done, fault := f.control.Change(r.Context(), core.KeyEngines, func(cell register.Entry) []byte {
		held = engine.List{}
		_ = json.Unmarshal(cell.Value, &held)
		if cell.Serial == 0 || list.Serial > held.Serial {
			return value
		}
		text, _ := json.Marshal(held)
		same = list.Serial == held.Serial && string(text) == string(value)
		return nil
	})
	switch {
	case !f.changed(w, done, fault):
	case !done.Repeated:
		writeJSON(w, http.StatusOK, map[string]any{"serial": list.Serial})
	case same:
		writeJSON(w, http.StatusOK, map[string]any{"serial": held.Serial, "repeated": true})
	default:
		f.passed(w, held.Serial, "", done.Shown)
	}
}

// changed tells whether an edit on top of whatever stood was done, and replies
// where it was not.
func (f *Face) changed(w http.ResponseWriter, done control.Outcome, fault *verdict.Error) bool {
	switch {
	case fault != nil:
		f.fail(w, fault)
	case done.Outcome == register.Done:
		return f.standing(w, done.Shown, !done.Repeated)
	case done.Outcome == register.Conflict:
		f.fail(w, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: "busy", Reason: "other edits kept coming between; send it again", RetryAfter: time.Second})
	default:
		f.fail(w, &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusGatewayTimeout, Code: "outcome-unknown",
			Reason: "the edit may have been taken: send it again", RetryAfter: time.Second})
	}
	return false
}

func (f *Face) getEngines(w http.ResponseWriter, r *http.Request) {
	shown, fault := f.control.Read(r.Context(), core.KeyEngines)
	if fault != nil {
		f.fail(w, fault)
		return
	}
	var list engine.List
	_ = json.Unmarshal(shown.Value().Value, &list)
	if list.Engines == nil {
		list.Engines = []engine.Listed{}
	}
	if f.standing(w, shown, false) {
		writeJSON(w, http.StatusOK, list)
	}
}

type siteEdit struct {
	Site  string `json:"site" need:"yes" min:"1" max:"64"`
	State string `json:"state" need:"yes" any:"empty in"`
}

// postSites empties a site, or brings it back.
func (f *Face) postSites(w http.ResponseWriter, r *http.Request) {
	body, fault := f.readBody(w, r, maxFile)
	if fault != nil {
		f.fail(w, fault)
		return
	}
	var want siteEdit
	if faults := strict.Load(body, &want); len(faults) > 0 {
		f.fail(w, faultsError(faults, "the request"))
		return
	}
	inForce, _ := f.n.InForce() // before the look, so that the lease covers it
	if !f.n.KnowsSite(want.Site) {
		f.refuse(w, serve.Under(inForce, f.path.ComeBackAfter(),
			serve.Bad(http.StatusNotFound, "unknown-site", "site", "no node and no engine is at site %q", want.Site)))
		return
	}
	done, empty, fault := f.control.EmptySite(r.Context(), want.Site, want.State == "empty")
	if f.changed(w, done, fault) {
		writeJSON(w, http.StatusOK, map[string]any{"serial": done.Serial, "empty": empty})
	}
}
