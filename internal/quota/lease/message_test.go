package lease_test

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/lease"
)

func encode(t testing.TB, value any) []byte {
	t.Helper()
	body, err := cbor.Marshal(value)
	assert.NilError(t, err)
	return body
}

// Guards against NaN, infinite and negative amounts in messages, which would spread to the levels of buckets.
func FuzzDecode(f *testing.F) {
	for _, seed := range []map[string]any{
		{"quota": alfa, "number": 1, "rate": math.NaN()},
		{"number": 1, "cap": 1.0, "tokens": 2.0, "term": time.Hour},
		{"quota": alfa, "number": 1, "tokens": math.Inf(1)},
		{"versions": []any{map[string]any{"version": 1, "shares": map[string]any{"a": map[string]any{"slots": -1}}}}},
	} {
		f.Add(encode(f, seed))
	}
	f.Add([]byte{0xa1, 0x65})
	f.Fuzz(func(t *testing.T, body []byte) {
		finite := func(values ...float64) {
			for _, v := range values {
				assert.Assert(t, v >= 0 && v <= math.MaxFloat64)
			}
		}
		if q, err := lease.DecodeBorrow(body); err == nil {
			finite(q.Rate, q.Cap, q.Tokens, float64(q.Units))
			assert.Assert(t, q.Quota != "" && q.Number > 0)
		}
		if a, err := lease.DecodeBorrowAnswer(body); err == nil {
			finite(a.Rate, a.Cap, a.Tokens, float64(a.Units))
			assert.Assert(t, a.Tokens <= a.Cap && a.Term >= 0 && a.Term <= 2*time.Second)
		}
		if q, err := lease.DecodeReturn(body); err == nil {
			finite(q.Tokens)
		}
	})
}

// staticHost provides a configuration, slots and peers that do not change, for benchmarks. None of its methods takes a
// lock.
type staticHost struct {
	config   *steer.Config
	changed  chan struct{}
	requests atomic.Int64
	others   []steer.Member
}

func (s *staticHost) Current() *steer.Config                    { return s.config }
func (s *staticHost) Changed() <-chan struct{}                  { return s.changed }
func (*staticHost) EvidenceAge(time.Time) time.Duration         { return 0 }
func (*staticHost) Held(time.Time) []steer.SlotClaim            { return []steer.SlotClaim{slotClaim(0, 1)} }
func (*staticHost) UsableUntil(now time.Time) time.Time         { return now.Add(time.Hour) }
func (*staticHost) UnplannedTakeover(int) time.Time             { return time.Time{} }
func (s *staticHost) Members() []steer.Member                   { return s.others }
func (*staticHost) Handle(steer.MessageKind, steer.PeerHandler) {}

func (s *staticHost) Call(ctx context.Context, _ string, _ steer.MessageKind, body []byte) ([]byte, error) {
	s.requests.Add(1)
	q, err := lease.DecodeBorrow(body)
	if err != nil {
		return nil, err
	}
	select {
	case <-time.After(time.Millisecond):
	case <-ctx.Done():
	}
	return cbor.Marshal(lease.BorrowAnswer{
		Number: q.Number,
	})
}

func (s *staticHost) start(t testing.TB) *lease.Manager {
	m := lease.New(lease.Config{
		ID:         "still",
		DataCentre: "dc-0",
		Source:     s,
		Peers:      s,
		Slots:      s,
	})
	t.Cleanup(func() { assert.NilError(t, m.Stop(context.Background())) })
	return m
}

// addCustomers adds n customers named 0 to n-1.
func addCustomers(c *steer.Config, n int, rate float64) {
	for i := range n {
		c.Customers[fmt.Sprint(i)] = &steer.Customer{
			Name:  fmt.Sprint(i),
			Rate:  rate,
			Burst: rate,
		}
	}
}

// newStaticHost returns a staticHost with many customers, whose shares are too large to run out.
func newStaticHost() *staticHost {
	c := customerConfig(1, 1e12, 1e12, 1, 1)
	addCustomers(c, 64, 1e12)
	c.Services = serviceConfig(1, 1, 3).Services
	return &staticHost{
		config:  c,
		changed: make(chan struct{}),
	}
}

func BenchmarkTake(b *testing.B) {
	m := newStaticHost().start(b)
	b.ReportAllocs()
	for b.Loop() {
		if err := m.Take(b.Context(), alfa); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkTakeParallelOnDifferentQuotas(b *testing.B) {
	m := newStaticHost().start(b)
	b.ReportAllocs()
	var worker atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		name := steer.CustomerQuota(fmt.Sprint(worker.Add(1) % 64))
		for pb.Next() {
			if !m.TryTake(time.Now(), name) {
				b.Error("refused")
			}
		}
	})
}

func BenchmarkTryAcquire(b *testing.B) {
	m := newStaticHost().start(b)
	b.ReportAllocs()
	for b.Loop() {
		now := time.Now()
		release, ok := m.TryAcquire(now, steer.WorkQuota("reservas", "dc-0"), now.Add(time.Second))
		if !ok {
			b.Fatal("no unit")
		}
		release()
	}
}

// Guards against a flood of messages in a large fleet: customers over their rate must not make every host ask all others
// repeatedly.
func TestLoanRequestsAreLimitedInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStaticHost()
		s.config = customerConfig(1, 470, 470, 47, 1)
		addCustomers(s.config, 20, 470)
		for i := range 469 {
			s.others = append(s.others, steer.Member{
				ID:         fmt.Sprint(i),
				DataCentre: "dc-0",
				State: steer.HostState{
					Version: 1,
					Slots:   []steer.SlotClaim{slotClaim(1, 1)},
				},
			})
		}
		m := s.start(t)
		time.Sleep(5 * time.Second)
		for range 10000 {
			time.Sleep(time.Millisecond)
			m.TryTake(time.Now(), alfa)
		}
		t.Logf("%d requests for a loan in 10 s, one customer at 100 times the rate", s.requests.Load())
		assert.Check(t, s.requests.Load() < 200)
		s.requests.Store(0)
		for i := range 200000 {
			time.Sleep(50 * time.Microsecond)
			m.TryTake(time.Now(), steer.CustomerQuota(fmt.Sprint(i%20)))
		}
		t.Logf("%d requests for a loan in 10 s, 20 customers at 100 times the rate", s.requests.Load())
		assert.Check(t, s.requests.Load() < 1000)
		assert.NilError(t, m.Stop(t.Context()))
	})
}
