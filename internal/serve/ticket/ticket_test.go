package ticket_test

import (
	"encoding/base64"
	"flag"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/serve/ticket"
)

// The fixed seed gives CI the same result in every run. The flag -rapid.seed selects another seed.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newTable(t testing.TB, host string, maxEntries, maxStoredBytes int) *ticket.Table {
	table, err := ticket.New(ticket.Config{
		HostID:         host,
		Incarnation:    7,
		FleetSecret:    []byte("secret"),
		Start:          start,
		MaxEntries:     maxEntries,
		MaxStoredBytes: maxStoredBytes,
	})
	assert.NilError(t, err)
	return table
}

func issue(t testing.TB, table *ticket.Table, now time.Time) ticket.Ticket {
	text, err := table.Issue(now, "reservas")
	assert.NilError(t, err)
	k, err := table.Open(text)
	assert.NilError(t, err)
	return k
}

func begin(table *ticket.Table, now time.Time, k ticket.Ticket) ticket.Action {
	a, _ := table.Begin(now, k, "request")
	return a
}

func ranResult(body string) ticket.Result {
	return ticket.Result{
		Verdict: steer.Ran,
		Status:  http.StatusCreated,
		Body:    []byte(body),
	}
}

// A ticket must execute its request once, however often the request is repeated and even after the ticket has expired. Only
// a request that is known not to have run may be executed again.
func TestTicketExecutesRequestOnce(t *testing.T) {
	table := newTable(t, "h1", 10, 1000)
	k := issue(t, table, start)
	assert.Assert(t, !table.MayHaveBegun(start, k))
	assert.Equal(t, begin(table, start, k), ticket.Execute)
	assert.Assert(t, table.MayHaveBegun(start, k))
	assert.Equal(t, begin(table, start, k), ticket.InProgress)
	table.Finish(start, k, ticket.Result{
		Verdict: steer.NotRun,
	})
	assert.Equal(t, begin(table, start, k), ticket.Execute)
	table.Finish(start, k, ranResult("done"))
	a, result := table.Begin(start.Add(ticket.Lifetime-1), k, "request")
	assert.Equal(t, a, ticket.Stored)
	assert.DeepEqual(t, result, ranResult("done"))
	a, result = table.Begin(start, k, "request of another customer")
	assert.Equal(t, a, ticket.Refuse)
	assert.Equal(t, len(result.Body), 0)
	assert.Equal(t, begin(table, start.Add(ticket.Lifetime), k), ticket.Expired)
	assert.Equal(t, table.Len(), 0)
	assert.Assert(t, table.MayHaveBegun(start.Add(ticket.Lifetime), k))
}

// Two callers may reach the table in another order than they read their times. The one with the earlier time must not
// execute a ticket that the table has removed as expired at the later time.
func TestTableClockNeverGoesBack(t *testing.T) {
	table := newTable(t, "h1", 10, 1000)
	k := issue(t, table, start)
	assert.Equal(t, begin(table, start, k), ticket.Execute)
	table.Finish(start, k, ranResult("done"))
	later := issue(t, table, start.Add(ticket.Lifetime))
	assert.Equal(t, begin(table, start.Add(ticket.Lifetime), later), ticket.Execute)
	assert.Equal(t, begin(table, start.Add(ticket.Lifetime-1), k), ticket.Expired)
}

// A request that runs longer than its ticket is valid must keep its entry, so that a repeat does not run it again.
func TestLongRequestKeepsItsEntry(t *testing.T) {
	table := newTable(t, "h1", 10, 1000)
	k := issue(t, table, start)
	assert.Equal(t, begin(table, start, k), ticket.Execute)
	late := start.Add(3 * ticket.Lifetime)
	assert.Equal(t, begin(table, late, k), ticket.InProgress)
	table.Finish(late, k, ticket.Result{
		Verdict: steer.NotRun,
	})
	assert.Equal(t, begin(table, late, k), ticket.Expired)
}

// The entries and stored bytes must stay bounded. A full table must refuse a new ticket rather than evict an older one.
func TestMemoryIsBounded(t *testing.T) {
	table := newTable(t, "h1", 2, 10)
	a := issue(t, table, start)
	b := issue(t, table, start)
	c := issue(t, table, start)
	assert.Equal(t, begin(table, start, a), ticket.Execute)
	assert.Equal(t, begin(table, start, b), ticket.Execute)
	assert.Equal(t, begin(table, start, c), ticket.Full)
	table.Finish(start, a, ranResult("12345678"))
	table.Finish(start, b, ranResult("123"))
	_, stored := table.Begin(start, a, "request")
	assert.Equal(t, string(stored.Body), "12345678")
	_, stored = table.Begin(start, b, "request")
	assert.Equal(t, stored.Status, 0)
	assert.Equal(t, stored.Verdict, steer.Ran)
	d := issue(t, table, start.Add(ticket.Lifetime))
	assert.Equal(t, begin(table, start.Add(ticket.Lifetime), d), ticket.Execute)
	assert.Equal(t, table.Len(), 1)
}

// Only the process that issued a ticket may execute it, and a ticket with a changed bit must be refused.
func TestBindingAndSignature(t *testing.T) {
	table := newTable(t, "h1", 10, 1000)
	other := newTable(t, "h2", 10, 1000)
	text, err := table.Issue(start, "reservas")
	assert.NilError(t, err)
	k, err := other.Open(text)
	assert.NilError(t, err)
	assert.Equal(t, k.Host, "h1")
	assert.Equal(t, begin(other, start, k), ticket.Refuse)
	earlier := k
	earlier.Incarnation--
	assert.Equal(t, begin(table, start, earlier), ticket.Refuse)
	raw, err := base64.RawURLEncoding.DecodeString(text)
	assert.NilError(t, err)
	for i := range raw {
		raw[i] ^= 1
		_, err := table.Open(base64.RawURLEncoding.EncodeToString(raw))
		assert.Equal(t, steer.VerdictOf(err), steer.NotRun)
		raw[i] ^= 1
	}
	_, err = ticket.New(ticket.Config{})
	assert.ErrorContains(t, err, "secret")
}

// Concurrent requests with the same ticket must be executed once.
func TestConcurrentRepeatsExecuteOnce(t *testing.T) {
	table := newTable(t, "h1", 1000, 1000)
	for range 50 {
		k := issue(t, table, start)
		var executed atomic.Int64
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				if begin(table, start, k) == ticket.Execute {
					executed.Add(1)
					table.Finish(start, k, ranResult("x"))
				}
			})
		}
		wg.Wait()
		assert.Equal(t, executed.Load(), int64(1))
	}
}

// In random sequences of Begin and Finish, with times that also go back, a ticket must not be executed again while its
// request runs or after it may have run.
func TestTicketNeverExecutesTwice(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		table := newTable(t, "h1", 3, 20)
		now := start
		var tickets []ticket.Ticket
		running := make(map[int]bool)
		mayHaveRun := make(map[int]bool)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-1000, 8000).Draw(r, "ms")) * time.Millisecond)
			if len(tickets) == 0 || rapid.IntRange(0, 3).Draw(r, "op") == 0 {
				tickets = append(tickets, issue(t, table, now))
			}
			i := rapid.IntRange(0, len(tickets)-1).Draw(r, "ticket")
			if running[i] {
				verdict := rapid.SampledFrom([]steer.Verdict{steer.NotRun, steer.MayHaveRun, steer.Ran}).Draw(r, "verdict")
				table.Finish(now, tickets[i], ticket.Result{
					Verdict: verdict,
				})
				running[i] = false
				mayHaveRun[i] = verdict != steer.NotRun
			}
			if begin(table, now, tickets[i]) == ticket.Execute {
				if running[i] || mayHaveRun[i] {
					r.Fatalf("ticket %d executed twice", i)
				}
				running[i] = true
			}
		}
	})
}

// No text may crash the parser, and none but the signed one may be accepted.
func FuzzOpen(f *testing.F) {
	table := newTable(f, "h1", 10, 1000)
	// The text is a constant because fuzzing runs in several processes, and each would issue another ticket.
	const valid = "pWJpZFB0gpTjiSXFpVHWbF1-jvq1ZGhvc3RiaDFraW5jYXJuYXRpb24HZ3NlcnZpY2VocmVzZXJ2YXNmZXhwaXJ5GwAAAAb8I6wAIRicfClKxJ_cWlQB8HZ1t_wazY2gtlTkJr_EL3Dpzy8"
	_, err := table.Open(valid)
	assert.NilError(f, err)
	f.Add(valid)
	f.Add("")
	f.Add(valid[:len(valid)-2])
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := table.Open(text); err == nil && text != valid {
			t.Fatalf("accepted %q", text)
		}
	})
}
