package block

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gaissmai/bart"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
)

// Table is an immutable map from client blocks to data centres.
//
// It uses bart.Table because bart.Fast needs half as much memory again, and over a million blocks the look-up times of the
// two differ less than those of two runs. Memory matters because two tables are alive during a change of configuration.
// See BenchmarkTable.
type Table struct {
	blocks      bart.Table[uint16] // Values are indices into dataCentres.
	dataCentres []string
}

// NewTable builds a table. Of equal blocks the last one wins. Blocks with an invalid prefix are ignored.
func NewTable(blocks []steer.Block) *Table {
	t := &Table{}
	index := map[string]uint16{}
	for _, b := range blocks {
		prefix, ok := unmapPrefix(b.Prefix)
		if !ok {
			continue
		}
		i, known := index[b.DataCentre]
		if !known {
			i = uint16(len(t.dataCentres))
			index[b.DataCentre] = i
			t.dataCentres = append(t.dataCentres, b.DataCentre)
		}
		t.blocks.Insert(prefix, i)
	}
	return t
}

// unmapPrefix converts a prefix of IPv4-mapped IPv6 addresses to the IPv4 prefix, since bart doesn't. It returns false if
// the prefix is invalid or not wholly inside the mapped range.
func unmapPrefix(p netip.Prefix) (netip.Prefix, bool) {
	if !p.IsValid() {
		return p, false
	}
	if p.Addr().Is4In6() {
		if p.Bits() < 96 {
			return p, false
		}
		p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-96)
	}
	return p.Masked(), true
}

// Find returns the data centre of the longest block that contains the address.
func (t *Table) Find(client netip.Addr) (dataCentre string, ok bool) {
	i, ok := t.blocks.Lookup(client.Unmap())
	if !ok {
		return "", false
	}
	return t.dataCentres[i], true
}

// Size returns the number of blocks.
func (t *Table) Size() int { return t.blocks.Size() }

// Config configures Blocks.
type Config struct {
	Source  steer.Source
	Logger  log.Logger       // Nil means no logging.
	Metrics metrics.Registry // Nil means a private registry.
}

// Blocks holds the table of the configuration in force.
type Blocks struct {
	table  atomic.Pointer[Table]
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns Blocks with the table of the current configuration, empty if there is none, and follows the source until
// Close.
func New(c Config) *Blocks {
	logger := log.With(orNopLogger(c.Logger), "part", "block")
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	size := metrics.GetOrRegisterGauge("block-count", c.Metrics)
	ctx, cancel := context.WithCancel(context.Background())
	b := &Blocks{
		cancel: cancel,
		done:   make(chan struct{}),
	}
	b.table.Store(NewTable(nil))
	var lastBlocks []steer.Block
	update := func() {
		config := c.Source.Current()
		// Most versions don't change the blocks, and building a table of a million blocks takes most of a second.
		if config == nil || slices.Equal(config.Blocks, lastBlocks) {
			return
		}
		start := time.Now()
		table := NewTable(config.Blocks)
		b.table.Store(table)
		lastBlocks = config.Blocks
		size.Update(int64(table.Size()))
		_ = level.Info(logger).Log("msg", "Client blocks in force.", "version", config.Version, "blocks", table.Size(),
			"took", time.Since(start))
	}
	changed := c.Source.Changed()
	update()
	go func() {
		defer close(b.done)
		for {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
			// The next channel is loaded before the configuration is read, so that no version is missed.
			changed = c.Source.Changed()
			update()
		}
	}()
	return b
}

// Find returns the data centre of the longest block that contains the address.
func (b *Blocks) Find(client netip.Addr) (dataCentre string, ok bool) {
	return b.table.Load().Find(client)
}

// Size returns the number of blocks in force.
func (b *Blocks) Size() int { return b.table.Load().Size() }

// Close stops following the source and waits until that has ended. It returns the error of the context if that ends first.
func (b *Blocks) Close(ctx context.Context) error {
	b.cancel()
	select {
	case <-b.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func orNopLogger(l log.Logger) log.Logger {
	if l == nil {
		return log.NewNopLogger()
	}
	return l
}
