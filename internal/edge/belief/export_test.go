package belief

import (
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/index"
)

// Table gives tests the pure part of the package.
type Table struct{ t *table }

// NewTable returns an empty table.
func NewTable(regions map[string]string) Table { return Table{t: newTable(regions)} }

// Break makes the next plan panic.
func (t Table) Break() { t.t.index = &index.Index{} }

// List applies a listing.
func (t Table) List(now time.Time, facts []steer.Fact, revision uint64) []error {
	_, problems := t.t.list(now, facts, revision)
	return problems
}

// Apply applies a change.
func (t Table) Apply(now time.Time, fact steer.Fact) []error { return t.t.apply(now, fact) }

// Expire drops entries that did not come back.
func (t Table) Expire(now time.Time) { t.t.expire(now) }

// Reached notes a call that succeeded.
func (t Table) Reached(now time.Time) { t.t.reached(now) }

// Lost notes a call that failed.
func (t Table) Lost(now time.Time) { t.t.lost(now) }

// ApplyHint takes what another host tells.
func (t Table) ApplyHint(now time.Time, hint Hint) { t.t.hear(now, hint) }

// View returns what is believed.
func (t Table) View() *View { return t.t.view() }
