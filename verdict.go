package steer

import (
	"errors"
	"time"
)

// Verdict states whether a request has run, or may have run, at a target.
type Verdict uint8

// Verdicts. The zero value is MayHaveRun, which guarantees nothing.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

// String returns the kebab-case name that is used in headers, logs and reports.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// ParseVerdict is the inverse of String. It returns MayHaveRun for unknown names.
func ParseVerdict(name string) Verdict {
	switch name {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Reason is the kebab-case cause of a refusal.
type Reason string

// Reasons of refusals.
const (
	ReasonBounds        Reason = "over-bounds"    // A limit on sizes or connections was exceeded.
	ReasonBadRequest    Reason = "bad-request"    // A header or parameter is invalid.
	ReasonNoRoute       Reason = "no-route"       // No service or route matches.
	ReasonNoConfig      Reason = "no-config"      // No configuration is in force yet.
	ReasonKey           Reason = "bad-key"        // The key is missing, unknown or withdrawn.
	ReasonIsolated      Reason = "isolated"       // The host lacks recent evidence that no key was withdrawn.
	ReasonRate          Reason = "over-rate"      // The customer's quota has no token.
	ReasonCapacity      Reason = "no-capacity"    // No capacity unit became free in time.
	ReasonMemory        Reason = "no-memory"      // The memory for bodies of requests or answers is exhausted.
	ReasonNoTarget      Reason = "no-target"      // No target can take the request.
	ReasonTargetLimit   Reason = "target-limit"   // The targets that could take the request have named limits that are used up.
	ReasonTargetMemory  Reason = "target-memory"  // The targets that could take the request have enough bodies of requests in progress.
	ReasonDeadly        Reason = "deadly-request" // Equal requests have crashed several targets.
	ReasonTicket        Reason = "bad-ticket"     // The ticket is malformed, forged or expired.
	ReasonTicketGone    Reason = "ticket-gone"    // The process that owns the ticket does not answer.
	ReasonTicketBusy    Reason = "ticket-busy"    // The request with this ticket is in progress.
	ReasonTicketFull    Reason = "ticket-full"    // The ticket table is full.
	ReasonDeadline      Reason = "deadline"       // The deadline passed.
	ReasonCallerLeft    Reason = "caller-left"    // The caller had closed its connection.
	ReasonStopping      Reason = "stopping"       // The host is shutting down.
	ReasonTargetFailed  Reason = "target-failed"  // The target did not answer, or its answer was truncated.
	ReasonFault         Reason = "fault"          // The host itself failed to handle the request.
	ReasonForwardFailed Reason = "forward-failed" // The peer host did not answer.
)

// Refusal is the error for a request that got no answer from a target.
type Refusal struct {
	Verdict    Verdict
	Reason     Reason
	Status     int           // HTTP status for the caller.
	RetryAfter time.Duration // 0 when unknown.
	Cause      error         // Underlying error; may be nil.
}

// Error implements error.
func (r *Refusal) Error() string {
	text := string(r.Reason) + ", " + r.Verdict.String()
	if r.Cause == nil {
		return text
	}
	return text + ": " + r.Cause.Error()
}

// Unwrap returns the underlying error.
func (r *Refusal) Unwrap() error { return r.Cause }

// VerdictOf returns the verdict of the *Refusal in err's tree, or MayHaveRun if there is none.
func VerdictOf(err error) Verdict {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Verdict
	}
	return MayHaveRun
}
