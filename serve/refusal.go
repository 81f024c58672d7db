package serve

import (
	"net/http"
	"time"

	"linedrum.example/linedrum/lease"
	"linedrum.example/linedrum/verdict"
)

// InForce is what is in force on this node, by a lease that says so.
type InForce = lease.Grant[Picture]

// Refusal is a request's end without an engine's reply, as its caller may be told of it.
// What rests on the configuration can be made under a lease alone (Under), and is told
// only while that lease still holds: Told, which a face calls right before it writes,
// gives not-run, come back, in its place where the lease ran out meanwhile.
type Refusal struct {
	fault  *verdict.Error
	rests  bool         // on what is in force
	leased lease.Holder // where it rests on it
	again  time.Duration
}

// Under is a refusal that rests on what is in force by a lease. after is when to come
// back if the lease runs out before the caller is told.
func Under(leased lease.Holder, after time.Duration, fault *verdict.Error) *Refusal {
	return &Refusal{fault: fault, rests: true, leased: leased, again: after}
}

// Malformed is the refusal of a request that is at fault in itself, whatever is in
// force: it cannot be read as a request, or exceeds the settings of this process.
func Malformed(fault *verdict.Error) *Refusal { return &Refusal{fault: fault} }

// ComeBack is the refusal of a request that may be served later: not-run, come back
// after. It rests on nothing.
func ComeBack(code, reason string, after time.Duration) *Refusal {
	return &Refusal{fault: &verdict.Error{
		Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: code, Reason: reason, RetryAfter: after,
	}}
}

// CodeNoLease is the code of what was not decided for lack of a lease.
const CodeNoLease = "no-permit"

// NoLease is the refusal of a request that nothing was decided about, since nobody
// knows here whether the configuration is still in force.
func NoLease(after time.Duration) *Refusal {
	return ComeBack(CodeNoLease, "this node cannot confirm that its desk file and engines are the newest", after)
}

// CodeCrowded is the code of what a node did not take in for lack of room.
const CodeCrowded = "node-crowded"

// Crowded is the refusal of a request that was not read whole, since what it would hold is
// needed by others, or is not to be had: not-run, another node may take it.
func Crowded() *Refusal {
	return ComeBack(CodeCrowded, "this node holds as much for its clients as it may", crowdedAfter)
}

// crowdedAfter is when such a request should come back: other nodes have room.
const crowdedAfter = 100 * time.Millisecond

// settled is the end of a request that rests on what engines did, or on the register of
// its own key (section 5.7), and on nothing that is in force.
func settled(fault *verdict.Error) *Refusal { return &Refusal{fault: fault} }

// Told is what the caller is told now.
func (r *Refusal) Told() *verdict.Error {
	if r.rests && (r.leased == nil || !r.leased.Held()) && r.fault.Verdict == verdict.NotRun {
		return NoLease(r.again).fault
	}
	return r.fault
}

// leaseReturns is when a request that met no lease should come back, as a part of the
// in-force bound: two renewals.
const leaseReturns = 4

// noLease is NoLease with the time that this server's lease takes to come back.
func (s *Server) noLease() *Refusal { return NoLease(s.ComeBackAfter()) }

// ComeBackAfter is when a request that met no lease should come back.
func (s *Server) ComeBackAfter() time.Duration { return s.settings.Bounds.InForce.D() / leaseReturns }

// refusal is how a fault of a request that was looked up is told. Of what is not-run, a
// 4xx other than those of a key's register rests on what is in force, now: the request
// might be served by another configuration.
func (q *request) refusal(fault *verdict.Error) *Refusal {
	if fault.Verdict != verdict.NotRun || fault.Status/100 != 4 || fault.Status == http.StatusTooManyRequests {
		return settled(fault)
	}
	if !q.inForce.Held() {
		// The lease of the last look may have been renewed since.
		q.inForce, _ = q.fleet.InForce()
	}
	return Under(q.inForce, q.s.ComeBackAfter(), fault)
}
