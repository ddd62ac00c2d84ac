package block_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaissmai/bart"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/route/block"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func blockOf(prefix, dataCentre string) steer.Block {
	return steer.Block{
		Prefix:     netip.MustParsePrefix(prefix),
		DataCentre: dataCentre,
	}
}

// Guards against a match of a shorter block, a match of the wrong address family, and a missed match.
func TestFindReturnsLongestPrefix(t *testing.T) {
	table := block.NewTable([]steer.Block{
		blockOf("10.0.0.0/8", "golfo-1"),
		blockOf("10.1.0.0/16", "golfo-2"),
		blockOf("10.1.2.3/32", "pacifico-1"),
		blockOf("2001:db8::/32", "altiplano-1"),
		blockOf("::ffff:192.168.0.0/112", "altiplano-2"),
		blockOf("10.3.0.7/16", "pacifico-2"), // Host bits are set.
		{},
	})
	assert.Equal(t, table.Size(), 6)
	for client, want := range map[string]string{
		"10.9.9.9":           "golfo-1",
		"10.1.9.9":           "golfo-2",
		"10.1.2.3":           "pacifico-1",
		"10.3.1.1":           "pacifico-2",
		"::ffff:10.1.2.3":    "pacifico-1",
		"192.168.7.7":        "altiplano-2",
		"2001:db8::1":        "altiplano-1",
		"fe80::1%eth0":       "",
		"11.0.0.1":           "",
		"2001:db9::":         "",
		"0.0.0.0":            "",
		"255.255.255.255":    "",
		"::ffff:11.11.11.11": "",
	} {
		got, ok := table.Find(netip.MustParseAddr(client))
		assert.Equal(t, got, want, client)
		assert.Equal(t, ok, want != "", client)
	}
	_, ok := table.Find(netip.Addr{})
	assert.Assert(t, !ok)
}

type source struct {
	mu      sync.Mutex
	config  *steer.Config
	changed chan struct{}
}

func (s *source) Current() *steer.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

func (s *source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *source) EvidenceAge(time.Time) time.Duration { return 0 }

func (s *source) set(c *steer.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = c
	close(s.changed)
	s.changed = make(chan struct{})
}

// Guards against a table that stays at an older version, in particular when two versions come in quick succession.
func TestBlocksFollowConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{changed: make(chan struct{})}
		b := block.New(block.Config{Source: s})
		client := netip.MustParseAddr("10.0.0.1")
		_, ok := b.Find(client)
		assert.Assert(t, !ok)
		for i := range uint64(5) {
			s.set(&steer.Config{Version: 2 * i})
			name := fmt.Sprint("golfo-", i)
			s.set(&steer.Config{
				Version: 2*i + 1,
				Blocks:  []steer.Block{blockOf("10.0.0.0/8", name)},
			})
			synctest.Wait()
			got, _ := b.Find(client)
			assert.Equal(t, got, name)
		}
		assert.NilError(t, b.Close(context.Background()))
	})
}

// millionBlocks returns a million distinct blocks of 10 data centres: three quarters are IPv4 blocks of /20 to /28, the
// rest are IPv6 blocks of /32 to /56.
func millionBlocks(seed uint64) []steer.Block {
	r := rand.New(rand.NewPCG(seed, 1))
	seen := make(map[netip.Prefix]bool, 1_000_000)
	blocks := make([]steer.Block, 0, 1_000_000)
	for len(blocks) < cap(blocks) {
		var prefix netip.Prefix
		if r.IntN(4) > 0 {
			v := r.Uint32()
			prefix = netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)}), 20+r.IntN(9))
		} else {
			a := [16]byte{0x20, byte(r.IntN(16)), byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256))}
			prefix = netip.PrefixFrom(netip.AddrFrom16(a), 32+r.IntN(25))
		}
		prefix = prefix.Masked()
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		blocks = append(blocks, steer.Block{
			Prefix:     prefix,
			DataCentre: fmt.Sprint("golfo-", len(blocks)%10),
		})
	}
	return blocks
}

func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

// BenchmarkTable reports the heap size, build time and look-up time of each table type. The clients are spread over all
// blocks, so that most look-ups miss the processor caches.
func BenchmarkTable(b *testing.B) {
	blocks := millionBlocks(7)
	builds := map[string]func() (find func(netip.Addr) bool){
		"block": func() func(netip.Addr) bool {
			table := block.NewTable(blocks)
			return func(a netip.Addr) bool { _, ok := table.Find(a); return ok }
		},
		"bart-table": func() func(netip.Addr) bool { return fillTable(&bart.Table[uint16]{}, blocks) },
		"bart-fast":  func() func(netip.Addr) bool { return fillTable(&bart.Fast[uint16]{}, blocks) },
	}
	for name, build := range builds {
		b.Run(name, func(b *testing.B) {
			before, start := heapMB(), time.Now()
			find := build()
			took := time.Since(start)
			used := heapMB() - before
			for i := 0; b.Loop(); i++ {
				find(blocks[i*15%len(blocks)].Prefix.Addr())
			}
			b.ReportMetric(used, "heap-MB")
			b.ReportMetric(float64(took.Milliseconds()), "build-ms")
		})
	}
	runtime.KeepAlive(blocks)
}

func fillTable(table interface {
	Insert(netip.Prefix, uint16)
	Lookup(netip.Addr) (uint16, bool)
}, blocks []steer.Block) func(netip.Addr) bool {
	for i, p := range blocks {
		table.Insert(p.Prefix, uint16(i%10))
	}
	return func(a netip.Addr) bool { _, ok := table.Lookup(a); return ok }
}
