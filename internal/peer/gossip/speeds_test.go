package gossip_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/peer/gossip"
	"monsoonhub.example/steer/internal/quota/share"
)

// speedObservation returns two samples of a target.
func speedObservation(target string) steer.SpeedObservation {
	return steer.SpeedObservation{
		Target: target,
		Samples: []steer.SpeedSample{
			{Ratio: 5, LoadPerSlot: 0.75, Age: 700 * time.Millisecond},
			{Ratio: 0.5, LoadPerSlot: 1.5, Uncertain: true, Age: 40 * time.Millisecond},
		},
	}
}

// Guards against hosts that do not learn which targets are slow, and against samples that count twice because two leaders pass them on.
// Load: 11 hosts of one data centre, which has leaders, four of another of the region and two of another region. Each of the
// 15 hosts of the region reports one target in each round.
func TestSpeedsReachHostsOfRegionOnce(t *testing.T) {
	var mu sync.Mutex
	heard := map[string]map[string]int{} // Observations by receiving host and target.
	rounds := map[string]int{}
	var configs []gossip.Config
	for i := range 17 {
		id, dataCentre, region := fmt.Sprintf("host-%02d", i), "golfo-a", "golfo"
		if i >= 11 {
			dataCentre = "golfo-b"
		}
		if i >= 15 {
			dataCentre, region = "pacifico-a", "pacifico"
		}
		heard[id] = map[string]int{}
		configs = append(configs, gossip.Config{
			Host:       id,
			DataCentre: dataCentre,
			Region:     region,
			Speeds: func(time.Time) []steer.SpeedObservation {
				mu.Lock()
				defer mu.Unlock()
				if i >= 15 {
					return nil
				}
				rounds[id]++
				return []steer.SpeedObservation{speedObservation(fmt.Sprintf("%s-%d", id, rounds[id]))}
			},
			OnSpeeds: func(_ time.Time, list []steer.SpeedObservation) {
				mu.Lock()
				defer mu.Unlock()
				for _, o := range list {
					heard[id][o.Target]++
					first, second := o.Samples[0], o.Samples[1]
					if math.Abs(first.Ratio-5) > 0.2 || first.LoadPerSlot != 0.75 || first.Uncertain || first.Age < 650*time.Millisecond ||
						first.Age > 4*time.Second || second.Ratio != 0.5 || second.LoadPerSlot != 1.5 || !second.Uncertain || second.Age < 40*time.Millisecond {
						t.Errorf("%s got %+v", id, o)
					}
				}
			},
		})
	}
	startHosts(t, configs)
	const enough = 8 // Rounds of a host that arrive.
	waitUntil(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		for id, targets := range heard {
			from := map[string]int{}
			for target := range targets {
				from[target[:len(id)]]++
			}
			for i := range 15 {
				if other := fmt.Sprintf("host-%02d", i); other != id && id < "host-15" && from[other] < enough {
					return false
				}
			}
		}
		return true
	})
	mu.Lock()
	defer mu.Unlock()
	for id, targets := range heard {
		assert.Assert(t, id < "host-15" || len(targets) == 0, "%s is in another region", id)
		for target, n := range targets {
			assert.Equal(t, n, 1, "%s got %s", id, target)
			assert.Assert(t, target[:len(id)] != id, "%s got its own", id)
		}
	}
}

// Guards against a message of an older build, without the field, or one with values that no host sends, that stops the exchange, and
// against older builds that cannot read ours.
func TestSpeedsOfOtherBuilds(t *testing.T) {
	var got []steer.SpeedObservation
	g := gossip.New(gossip.Config{
		Host:         "host-1",
		DataCentre:   "golfo-a",
		Region:       "golfo",
		Usage:        func(time.Time) share.Report { return nil },
		Sum:          func([]string) (share.Report, int) { return nil, 1 },
		OnPeerStatus: func(time.Time, gossip.PeerStatus) {},
		OnSpeeds:     func(_ time.Time, list []steer.SpeedObservation) { got = append(got, list...) },
	})
	t.Cleanup(g.Stop)
	receive := func(fields map[string]any) {
		t.Helper()
		fields["host"], fields["data-centre"] = "host-2", "golfo-a"
		data, err := cbor.Marshal(fields)
		assert.NilError(t, err)
		assert.NilError(t, g.Receive(append([]byte{0}, data...)))
	}
	host := func(round int64, targets ...any) []any { return []any{[]any{"host-2", round, targets}} }
	receive(map[string]any{})
	receive(map[string]any{"speeds": host(1000, []any{"i-1", -1, []byte{0, 0, 0}}, []any{"i-2", 0, []byte{0, 0}})})
	assert.Equal(t, len(got), 0)
	receive(map[string]any{"speeds": host(2000, []any{"i-3", 5, []byte{16, 32 | 0x80, 1}})})
	receive(map[string]any{"speeds": host(2000, []any{"i-3", 5, []byte{16, 32 | 0x80, 1}})}) // A copy.
	assert.DeepEqual(t, got, []steer.SpeedObservation{{
		Target:  "i-3",
		Samples: []steer.SpeedSample{{Ratio: 2, LoadPerSlot: 1, Uncertain: true, Age: 37 * time.Millisecond}},
	}})
	receive(map[string]any{"speeds": host(2000-20_000, []any{"i-3", 5, []byte{16, 0, 0}})}) // Restarted with another clock.
	assert.Equal(t, len(got), 2)
	var old struct {
		Host string `cbor:"host"`
	}
	data, err := cbor.Marshal(map[string]any{"host": "host-2", "speeds": host(1, []any{"i-1", 5, []byte{16, 0, 0}})})
	assert.NilError(t, err)
	assert.NilError(t, cbor.Unmarshal(data, &old))
	assert.Equal(t, old.Host, "host-2")
}

// BenchmarkSpeedsMessage encodes and handles the largest message of a round: 64 targets with two samples each.
func BenchmarkSpeedsMessage(b *testing.B) {
	g := gossip.New(gossip.Config{
		Host:         "front-golfo-a-1",
		DataCentre:   "golfo-a",
		Region:       "golfo",
		Usage:        func(time.Time) share.Report { return nil },
		Sum:          func([]string) (share.Report, int) { return nil, 1 },
		OnPeerStatus: func(time.Time, gossip.PeerStatus) {},
	})
	b.Cleanup(g.Stop)
	random := rand.New(rand.NewPCG(1, 1))
	var list []steer.SpeedObservation
	for range 64 {
		o := speedObservation(fmt.Sprintf("i-%010x", random.Uint64N(1<<40)))
		for i := range o.Samples {
			o.Samples[i].Ratio *= 0.7 + random.Float64()
			o.Samples[i].Age += time.Duration(random.IntN(200)) * time.Millisecond
		}
		list = append(list, o)
	}
	now := time.Now()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		data, err := gossip.EncodeSpeeds("front-golfo-a-2", now, list)
		assert.NilError(b, err)
		assert.NilError(b, g.Receive(data))
		b.ReportMetric(float64(len(data)), "bytes")
	}
}
