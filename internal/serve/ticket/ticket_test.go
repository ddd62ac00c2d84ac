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

// The fixed seed gives CI the same verdict in every run. The flag -rapid.seed selects another.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newTable(t testing.TB, host string, entries, bytes int) *ticket.Table {
	table, err := ticket.New(ticket.Config{
		HostID:         host,
		Incarnation:    7,
		FleetSecret:    []byte("secret"),
		Start:          start,
		MaxEntries:     entries,
		MaxStoredBytes: bytes,
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

func action(table *ticket.Table, now time.Time, k ticket.Ticket) ticket.Action {
	a, _ := table.Begin(now, k, "request")
	return a
}

func ran(body string) ticket.Result {
	return ticket.Result{
		Verdict: steer.Ran,
		Status:  http.StatusCreated,
		Body:    []byte(body),
	}
}

// A request must be executed once however often and whenever it is repeated, unless it is known not to have run.
func TestLifeOfTicket(t *testing.T) {
	table := newTable(t, "h1", 10, 1000)
	k := issue(t, table, start)
	assert.Assert(t, !table.MayHaveBegun(start, k))
	assert.Equal(t, action(table, start, k), ticket.Execute)
	assert.Assert(t, table.MayHaveBegun(start, k))
	assert.Equal(t, action(table, start, k), ticket.InProgress)
	table.Finish(start, k, ticket.Result{
		Verdict: steer.NotRun,
	})
	assert.Equal(t, action(table, start, k), ticket.Execute)
	table.Finish(start, k, ran("done"))
	a, result := table.Begin(start.Add(ticket.Lifetime-1), k, "request")
	assert.Equal(t, a, ticket.Stored)
	assert.DeepEqual(t, result, ran("done"))
	a, result = table.Begin(start, k, "request of another customer")
	assert.Equal(t, a, ticket.Refuse)
	assert.Equal(t, len(result.Body), 0)
	assert.Equal(t, action(table, start.Add(ticket.Lifetime), k), ticket.Expired)
	assert.Equal(t, table.Len(), 0)
	assert.Assert(t, table.MayHaveBegun(start.Add(ticket.Lifetime), k))
}

// A caller whose time was read before another's must not run a ticket that the table has just forgotten.
func TestClockNeverGoesBack(t *testing.T) {
	table := newTable(t, "h1", 10, 1000)
	k := issue(t, table, start)
	assert.Equal(t, action(table, start, k), ticket.Execute)
	table.Finish(start, k, ran("done"))
	issueLater := issue(t, table, start.Add(ticket.Lifetime))
	assert.Equal(t, action(table, start.Add(ticket.Lifetime), issueLater), ticket.Execute)
	assert.Equal(t, action(table, start.Add(ticket.Lifetime-1), k), ticket.Expired)
}

// A request that runs longer than its ticket must not run a second time.
func TestLongRequestKeepsItsEntry(t *testing.T) {
	table := newTable(t, "h1", 10, 1000)
	k := issue(t, table, start)
	assert.Equal(t, action(table, start, k), ticket.Execute)
	late := start.Add(3 * ticket.Lifetime)
	assert.Equal(t, action(table, late, k), ticket.InProgress)
	table.Finish(late, k, ticket.Result{
		Verdict: steer.NotRun,
	})
	assert.Equal(t, action(table, late, k), ticket.Expired)
}

// Entries and stored bytes must stay bounded; a new ticket is refused when the table is full, an old one never forgotten.
func TestMemoryIsBounded(t *testing.T) {
	table := newTable(t, "h1", 2, 10)
	a := issue(t, table, start)
	b := issue(t, table, start)
	c := issue(t, table, start)
	assert.Equal(t, action(table, start, a), ticket.Execute)
	assert.Equal(t, action(table, start, b), ticket.Execute)
	assert.Equal(t, action(table, start, c), ticket.Full)
	table.Finish(start, a, ran("12345678"))
	table.Finish(start, b, ran("123"))
	_, stored := table.Begin(start, a, "request")
	assert.Equal(t, string(stored.Body), "12345678")
	_, stored = table.Begin(start, b, "request")
	assert.Equal(t, stored.Status, 0)
	assert.Equal(t, stored.Verdict, steer.Ran)
	d := issue(t, table, start.Add(ticket.Lifetime))
	assert.Equal(t, action(table, start.Add(ticket.Lifetime), d), ticket.Execute)
	assert.Equal(t, table.Len(), 1)
}

// Only the process that a ticket is bound to may execute it, and no changed bit may pass.
func TestBindingAndSignature(t *testing.T) {
	table := newTable(t, "h1", 10, 1000)
	other := newTable(t, "h2", 10, 1000)
	text, err := table.Issue(start, "reservas")
	assert.NilError(t, err)
	k, err := other.Open(text)
	assert.NilError(t, err)
	assert.Equal(t, k.Host, "h1")
	assert.Equal(t, action(other, start, k), ticket.Refuse)
	earlier := k
	earlier.Incarnation--
	assert.Equal(t, action(table, start, earlier), ticket.Refuse)
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

// Concurrent repeats must give one execution for each ticket.
func TestConcurrentRepeatsExecuteOnce(t *testing.T) {
	table := newTable(t, "h1", 1000, 1000)
	for range 50 {
		k := issue(t, table, start)
		var executed atomic.Int64
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				if action(table, start, k) == ticket.Execute {
					executed.Add(1)
					table.Finish(start, k, ran("x"))
				}
			})
		}
		wg.Wait()
		assert.Equal(t, executed.Load(), int64(1))
	}
}

// Under any order of uses, finishes and times, a ticket must not be executed again after it may have run.
func TestNeverTwice(t *testing.T) {
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
			if action(table, now, tickets[i]) == ticket.Execute {
				if running[i] || mayHaveRun[i] {
					r.Fatalf("ticket %d executed twice", i)
				}
				running[i] = true
			}
		}
	})
}

// No text from outside may crash the parser or pass without the signature.
func FuzzOpen(f *testing.F) {
	table := newTable(f, "h1", 10, 1000)
	// The text is fixed, because fuzzing runs in several processes, and each would issue another ticket.
	const good = "pWJpZFB0gpTjiSXFpVHWbF1-jvq1ZGhvc3RiaDFraW5jYXJuYXRpb24HZ3NlcnZpY2VocmVzZXJ2YXNmZXhwaXJ5GwAAAAb8I6wAIRicfClKxJ_cWlQB8HZ1t_wazY2gtlTkJr_EL3Dpzy8"
	_, err := table.Open(good)
	assert.NilError(f, err)
	f.Add(good)
	f.Add("")
	f.Add(good[:len(good)-2])
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := table.Open(text); err == nil && text != good {
			t.Fatalf("accepted %q", text)
		}
	})
}
