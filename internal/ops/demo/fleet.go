package demo

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-kit/log"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/publ"
	"monsoonhub.example/steer/internal/ops/config"
	"monsoonhub.example/steer/internal/plat/kvhttp"
	"monsoonhub.example/steer/internal/plat/kvmem"
	"monsoonhub.example/steer/internal/plat/target"
	"monsoonhub.example/steer/internal/serve/daemon"
)

const (
	serviceTime   = 20 * time.Millisecond // Median at a target stand-in.
	serviceSpread = 0.4                   // Standard deviation of its logarithm.
	startLimit    = 30 * time.Second      // Until all hosts serve.
	lookupTTL     = 5 * time.Second
)

// fleet is the running system with its stand-ins.
type fleet struct {
	config    Config
	steering  *steer.Config
	directory string // Copy of the steering files, which the demo edits.

	store        *kvmem.Store
	client       *kvhttp.Client
	targets      map[string]*target.Target // By target id.
	hosts        []*host
	closers      []func()
	storeAddress netip.AddrPort // Of the store.
}

type host struct {
	*daemon.Host
	name       string
	dataCentre steer.DataCentre
}

func (f *fleet) start(ctx context.Context) error {
	if f.config.Logger == nil {
		f.config.Logger = log.NewNopLogger()
	}
	if err := f.copyFiles(); err != nil {
		return fmt.Errorf("copy steering files: %w", err)
	}
	if err := f.startStore(); err != nil {
		return err
	}
	if err := f.startTargets(); err != nil {
		return err
	}
	begin := time.Now()
	version, err := f.publish(ctx)
	if err != nil {
		return err
	}
	if err := f.startHosts(); err != nil {
		return err
	}
	if err := f.waitServing(ctx, version); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(f.config.Output, "%d hosts and %d targets in %d data centres serve version %d after %v (seed %d)\n",
		len(f.hosts), len(f.targets), len(f.steering.Fleet.DataCentres), version,
		time.Since(begin).Round(time.Millisecond), f.config.Seed)
	return nil
}

func (f *fleet) startStore() error {
	f.store = kvmem.New(kvmem.Config{
		Seed:   f.config.Seed,
		Logger: f.config.Logger,
	})
	address, err := f.serve("127.0.0.1:0", kvhttp.Handler(f.store))
	if err != nil {
		return fmt.Errorf("start store: %w", err)
	}
	f.storeAddress = address
	f.client = kvhttp.New(kvhttp.Config{
		Address: address,
	})
	f.closers = append(f.closers, f.client.Stop)
	return nil
}

func (f *fleet) startTargets() error {
	f.targets = map[string]*target.Target{}
	for i, name := range serviceNames(f.steering) {
		for j, t := range f.steering.Services[name].Targets {
			stand := target.New(target.Config{
				ID:          t.ID,
				Slots:       t.Slots,
				ServiceTime: serviceTime,
				Spread:      serviceSpread,
				Seed:        f.config.Seed + uint64(i*1000+j),
			})
			if _, err := f.serve(t.Address.String(), stand); err != nil {
				return fmt.Errorf("start target %s: %w", t.ID, err)
			}
			f.targets[t.ID] = stand
		}
	}
	return nil
}

// serve starts an HTTP server of a stand-in that ends with the fleet.
func (f *fleet) serve(address string, handler http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() { _ = server.Serve(l) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (f *fleet) startHosts() error {
	var seeds []netip.AddrPort
	for _, d := range f.steering.Fleet.DataCentres {
		for i := range d.Slots {
			h, err := f.startHost(d, i, seeds)
			if err != nil {
				return err
			}
			if len(seeds) < 2 {
				seeds = append(seeds, h.PeerAddress())
			}
			f.hosts = append(f.hosts, h)
		}
	}
	return nil
}

func (f *fleet) startHost(d steer.DataCentre, index int, seeds []netip.AddrPort) (*host, error) {
	name := fmt.Sprintf("%s-%c", d.Name, 'a'+index)
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	running, err := daemon.New(daemon.Config{
		Settings: config.Settings{
			HostID:         name,
			DataCentre:     d.Name,
			Region:         d.Region,
			Listen:         loopback,
			PeerListen:     loopback,
			AdminListen:    loopback,
			Store:          f.storeAddress,
			Peers:          seeds,
			ShutdownLimit:  startLimit,
			LookupTTL:      lookupTTL,
			MaxHeaderBytes: 32 << 10,
			MaxBodyBytes:   8 << 20,
			MaxConnections: 4096,
			MaxInProgress:  1024,
			HeaderTimeout:  5 * time.Second,
			BodyTimeout:    5 * time.Second,
		},
		Secret: []byte("demo-fleet-secret"),
		Store:  f.client,
		Seed:   f.config.Seed + uint64(len(f.hosts)),
		Logger: log.With(f.config.Logger, "host", name),
	})
	if err != nil {
		return nil, fmt.Errorf("start host %s: %w", name, err)
	}
	return &host{
		Host:       running,
		name:       name,
		dataCentre: d,
	}, nil
}

// publish publishes the steering files and returns the version.
func (f *fleet) publish(ctx context.Context) (uint64, error) {
	result, err := publ.Publish(ctx, publ.Config{
		Store: f.client,
		Dir:   f.directory,
	})
	if err != nil {
		return 0, fmt.Errorf("publish: %w", err)
	}
	if result.Outcome != publ.Accepted {
		return 0, fmt.Errorf("publish: %s: %s", result.Outcome, result.Reason)
	}
	return result.Version, nil
}

// waitServing waits until every host has the version in force and a slot.
func (f *fleet) waitServing(ctx context.Context, version uint64) error {
	limit := time.Now().Add(startLimit)
	for {
		waiting := slices.IndexFunc(f.hosts, func(h *host) bool {
			s := h.Self().State
			return s.Version < version || len(s.Slots) == 0 || s.OutOfQuota
		})
		if waiting < 0 {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("host %s does not serve: %+v", f.hosts[waiting].name, f.hosts[waiting].Self().State)
		}
		if err := pause(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
}

// publishLeaving marks a target as leaving in the steering files and publishes them. It returns the time at which the
// publication was accepted.
func (f *fleet) publishLeaving(ctx context.Context, t steer.Target) (time.Time, error) {
	mark := []byte("- id: " + t.ID + "\n")
	edited := false
	err := filepath.WalkDir(f.directory, func(path string, _ os.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".yaml" {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil || !bytes.Contains(text, mark) {
			return err
		}
		edited = true
		text = bytes.Replace(text, mark, append(mark, "    leaving: true\n"...), 1)
		return os.WriteFile(path, text, 0o600)
	})
	if err != nil {
		return time.Time{}, fmt.Errorf("edit steering files: %w", err)
	}
	if !edited {
		return time.Time{}, fmt.Errorf("target %s is not in the steering files", t.ID)
	}
	_, err = f.publish(ctx)
	return time.Now(), err
}

// copyFiles copies the steering files without the base record, which belongs to another store.
func (f *fleet) copyFiles() error {
	directory, err := os.MkdirTemp("", "monsoonhub-demo-")
	if err != nil {
		return err
	}
	f.directory = directory
	if err := os.CopyFS(directory, os.DirFS(f.config.Directory)); err != nil {
		return err
	}
	err = os.Remove(filepath.Join(directory, publ.BaseFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// describe prints how to reach the fleet.
func (f *fleet) describe(w io.Writer) {
	service := serviceNames(f.steering)[0]
	customer := sortedKeys(f.steering.Customers)[0]
	_, _ = fmt.Fprintln(w, "\nServing until interrupted. Hosts (caller and admin listeners):")
	for _, h := range f.hosts[1:] {
		_, _ = fmt.Fprintf(w, "  %s  %v  %v\n", h.name, h.Address(), h.AdminAddress())
	}
	_, _ = fmt.Fprintf(w, "Try:\n  curl 'http://%v/v1/lookup?service=%s'\n  curl -H 'steering-key: demo-key-%s' "+
		"http://%v/s/%s/...\n", f.hosts[1].Address(), service, customer, f.hosts[1].Address(), service)
}

func (f *fleet) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, h := range f.hosts {
		if !h.Self().State.Stopping {
			_ = h.Abort(ctx)
		}
	}
	slices.Reverse(f.closers)
	for _, closer := range f.closers {
		closer()
	}
	if f.directory != "" {
		_ = os.RemoveAll(f.directory)
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
