package belief

import (
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/index"
)

// Table gives tests access to the table of entries.
type Table struct{ t *table }

// NewTable returns an empty table.
func NewTable(regions map[string]string) Table { return Table{t: newTable(regions)} }

// Break makes the next plan panic, by an index without a plan.
func (t Table) Break() { t.t.index = &index.Index{} }

// SetOwnHost sets the ID of the host that holds the table, and the term of the leases of hosts.
func (t Table) SetOwnHost(id string, leaseTerm time.Duration) {
	t.t.host, t.t.hostLeaseTerm = id, leaseTerm
}

// List applies a listing and returns the errors of rejected entries.
func (t Table) List(now time.Time, facts []steer.Fact, revision uint64) []error {
	_, problems := t.t.list(now, facts, revision)
	return problems
}

// Restore applies the first listing after the store has returned from a copy.
func (t Table) Restore(now time.Time, facts []steer.Fact, revision uint64) {
	t.t.restore(now, facts, revision)
}

// Apply applies a change and returns the errors of a rejected entry.
func (t Table) Apply(now time.Time, fact steer.Fact) []error { return t.t.apply(now, fact) }

// Expire drops lapsed entries that did not come back in time.
func (t Table) Expire(now time.Time) { t.t.expire(now) }

// MarkReachable records a successful call.
func (t Table) MarkReachable(now time.Time) { t.t.markReachable(now) }

// MarkUnreachable records a failed call.
func (t Table) MarkUnreachable(now time.Time) { t.t.markUnreachable(now) }

// NoteFailedCall records the start of a failed call.
func (t Table) NoteFailedCall(startedAt time.Time) { t.t.noteFailedCall(startedAt) }

// ApplyHint applies a hint of another host.
func (t Table) ApplyHint(now time.Time, hint Hint) { t.t.applyHint(now, hint) }

// View returns the view of the table.
func (t Table) View() *View { return t.t.view() }
