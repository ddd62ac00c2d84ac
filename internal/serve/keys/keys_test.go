package keys_test

import (
	"crypto/sha256"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/serve/keys"
)

// fakeSource is a steer.Source with a fixed age of evidence.
type fakeSource struct {
	age     atomic.Int64
	current *steer.Config
}

func (s *fakeSource) Current() *steer.Config              { return s.current }
func (s *fakeSource) Changed() <-chan struct{}            { return nil }
func (s *fakeSource) EvidenceAge(time.Time) time.Duration { return time.Duration(s.age.Load()) }

func key(text string, withdrawn bool) steer.Key {
	return steer.Key{
		ID:        text,
		Digest:    sha256.Sum256([]byte(text)),
		Withdrawn: withdrawn,
	}
}

func config(version uint64, customers ...*steer.Customer) *steer.Config {
	c := &steer.Config{
		Version:   version,
		Customers: make(map[string]*steer.Customer),
	}
	for _, cu := range customers {
		c.Customers[cu.Name] = cu
	}
	return c
}

func customer(name string, grace time.Duration, customerKeys ...steer.Key) *steer.Customer {
	return &steer.Customer{
		Name:         name,
		Keys:         customerKeys,
		WhenIsolated: grace,
	}
}

// A valid key must identify its customer, and any other key must get a refusal with steer.NotRun. An isolated host must
// refuse keys that a newer configuration may have added or withdrawn.
func TestAuthenticate(t *testing.T) {
	c := config(1,
		customer("alfa", 0, key("alfa-1", false), key("alfa-2", true), key("both", false)),
		customer("beta", 10*time.Second, key("beta-1", false), key("both", false)),
	)
	const second = time.Second
	for _, v := range []struct {
		name    string
		key     string
		age     time.Duration
		service time.Duration
		want    string
		reason  steer.Reason
	}{
		{"valid", "alfa-1", 0, 0, "alfa", ""},
		{"at the default grace", "alfa-1", 3 * second, 0, "alfa", ""},
		{"beyond the default grace", "alfa-1", 3*second + 1, 0, "", steer.ReasonIsolated},
		{"a shorter grace does not shorten the default", "alfa-1", 3 * second, second, "alfa", ""},
		{"grace of the service", "alfa-1", 20 * second, 20 * second, "alfa", ""},
		{"grace of the customer", "beta-1", 10 * second, 0, "beta", ""},
		{"longer grace of service and customer", "beta-1", 15 * second, 20 * second, "beta", ""},
		{"beyond the grace of service and customer", "beta-1", 21 * second, 20 * second, "", steer.ReasonIsolated},
		{"no key", "", 0, 0, "", steer.ReasonKey},
		{"unknown", "gamma", 0, 0, "", steer.ReasonKey},
		{"unknown while isolated may be new", "gamma", time.Minute, 0, "", steer.ReasonIsolated},
		{"withdrawn", "alfa-2", 0, 0, "", steer.ReasonKey},
		{"withdrawn while isolated", "alfa-2", time.Minute, 0, "", steer.ReasonKey},
		{"shared by two customers", "both", 0, 0, "", steer.ReasonKey},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := &fakeSource{}
			s.age.Store(int64(v.age))
			k := keys.New(keys.Config{
				Source: s,
			})
			service := &steer.Service{
				WhenIsolated: v.service,
			}
			got, err := k.Authenticate(time.Now(), c, service, v.key)
			if v.reason == "" {
				assert.NilError(t, err)
				assert.Equal(t, got.Name, v.want)
				return
			}
			var r *steer.Refusal
			assert.Assert(t, errors.As(err, &r))
			assert.Equal(t, r.Reason, v.reason)
			assert.Equal(t, r.Verdict, steer.NotRun)
		})
	}
}

// A key must be refused once a version withdraws it, even for a request that still holds an older version.
func TestWithdrawalIsNotUndoneByOlderVersion(t *testing.T) {
	k := keys.New(keys.Config{
		Source: &fakeSource{},
	})
	old := config(1, customer("alfa", 0, key("alfa-1", false)))
	newer := config(2, customer("alfa", 0, key("alfa-1", true)))
	for _, v := range []struct {
		config   *steer.Config
		accepted bool
	}{{old, true}, {newer, false}, {old, false}, {newer, false}} {
		_, err := k.Authenticate(time.Now(), v.config, nil, "alfa-1")
		assert.Equal(t, err == nil, v.accepted)
	}
}

// Evidence for a version that came into force after the request started must not count for the older version that the
// request holds. Otherwise a host that was isolated until then accepts a key that the newer version has withdrawn.
func TestEvidenceForNewerVersion(t *testing.T) {
	k := keys.New(keys.Config{
		Source: &fakeSource{
			current: config(2, customer("alfa", 0, key("alfa-1", true))),
		},
	})
	old := config(1, customer("alfa", 0, key("alfa-1", false)))
	_, err := k.Authenticate(time.Now(), old, nil, "alfa-1")
	assert.Assert(t, err != nil, "a withdrawn key was accepted")
}

func BenchmarkAuthenticate(b *testing.B) {
	k := keys.New(keys.Config{
		Source: &fakeSource{},
	})
	c := config(1, customer("alfa", 0, key("alfa-1", false)))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		now := time.Now()
		for pb.Next() {
			if _, err := k.Authenticate(now, c, nil, "alfa-1"); err != nil {
				b.Fatal(err)
			}
		}
	})
}
