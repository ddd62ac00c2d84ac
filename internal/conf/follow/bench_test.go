package follow_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/files"
	"monsoonhub.example/steer/internal/conf/follow"
	"monsoonhub.example/steer/internal/conf/manif"
)

// noPeers implements steer.Peers without any members.
type noPeers struct{}

func (noPeers) Members() []steer.Member { return nil }

func (noPeers) Call(context.Context, string, steer.MessageKind, []byte) ([]byte, error) {
	return nil, steer.ErrDown
}

func (noPeers) Handle(steer.MessageKind, steer.PeerHandler) {}

// megabyteConfig returns parts with about 1 MB in total. Each seed gives all the services another content.
func megabyteConfig(b *testing.B, seed int) files.Parts {
	dir := b.TempDir()
	writeFile := func(name, text string) {
		assert.NilError(b, os.WriteFile(filepath.Join(dir, name+".yaml"), []byte(text), 0o600))
	}
	writeFile("fleet", "kind: fleet\ndata-centres:\n  - {name: golfo, region: golfo}\n")
	for i := range 8 {
		var text strings.Builder
		fmt.Fprintf(&text, "kind: service\nname: s%d\ntimeout: %dms\nroutes:\n  - {prefix: /}\ntargets:\n", i, 1000+seed)
		for j := range 1750 {
			fmt.Fprintf(&text, "  - {id: s%d-%d, data-centre: golfo, address: \"127.%d.%d.%d:1000\", slots: 9}\n",
				i, j, i+1, j/250, j%250)
		}
		writeFile(fmt.Sprint("s", i), text.String())
	}
	parts, problems := files.Check(dir)
	assert.Equal(b, len(problems), 0, "%v", problems)
	return parts
}

// BenchmarkApplyMegabyte measures the time from the write of a manifest that changes 1 MB until the configuration is in
// force, and how long a concurrent reader of the configuration has to wait. The longest wait includes the time for which
// the machine ran other processes.
func BenchmarkApplyMegabyte(b *testing.B) {
	s := &store{
		entries: map[string]steer.Entry{},
	}
	versions := []files.Parts{megabyteConfig(b, 0), megabyteConfig(b, 1)}
	f := follow.New(follow.Config{
		Host:       "a",
		DataCentre: "golfo",
		Store:      s,
		Peers:      noPeers{},
	})
	defer func() { assert.NilError(b, f.Close(context.Background())) }()
	readWaits := hdrhistogram.New(1, int64(time.Second), 3)
	ctx, cancel := context.WithCancel(context.Background())
	var reader sync.WaitGroup
	reader.Go(func() {
		for ctx.Err() == nil {
			start := time.Now()
			_ = f.Current()
			_ = f.EvidenceAge(start)
			_ = readWaits.RecordValue(int64(time.Since(start)))
		}
	})
	m := &manif.Manifest{}
	revision := uint64(0)
	for b.Loop() {
		changes := map[string]string{}
		for _, p := range versions[m.Version%2] {
			changes[p.Name] = p.Hash
			_, _ = s.Swap(ctx, manif.PartKey(p.Hash), 0, p.Body, "")
		}
		m = m.Next(fmt.Sprint("p", m.Version), changes)
		value, err := m.Encode()
		assert.NilError(b, err)
		changed := f.Changed()
		revision, err = s.Swap(ctx, manif.Key, revision, value, "")
		assert.NilError(b, err)
		<-changed
	}
	cancel()
	reader.Wait()
	size := 0
	for _, p := range versions[0] {
		size += len(p.Body)
	}
	b.ReportMetric(float64(size), "config-bytes")
	b.ReportMetric(float64(readWaits.ValueAtQuantile(99.99)), "p99.99-wait-ns")
	b.ReportMetric(float64(readWaits.Max())/1e3, "longest-wait-us")
}
