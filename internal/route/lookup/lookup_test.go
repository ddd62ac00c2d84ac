package lookup_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	goahttp "goa.design/goa/v3/http"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	client "monsoonhub.example/steer/internal/api/gen/http/lookup/client"
	gen "monsoonhub.example/steer/internal/api/gen/lookup"
	"monsoonhub.example/steer/internal/route/block"
	"monsoonhub.example/steer/internal/route/lookup"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet provides the source, the members and the tickets of a host in golfo-1. The field ticket is the error of Issue.
type fleet struct {
	config  *steer.Config
	self    steer.Member
	members []steer.Member
	ticket  error
}

func (f *fleet) Current() *steer.Config                  { return f.config }
func (f *fleet) Changed() <-chan struct{}                { return nil }
func (f *fleet) EvidenceAge(time.Time) time.Duration     { return 0 }
func (f *fleet) Issue(time.Time, string) (string, error) { return "ticket-of-" + f.self.ID, f.ticket }

// newFleet returns a fleet of three regions with two data centres each and the given number of hosts in each data centre.
func newFleet(hosts int) *fleet {
	f := &fleet{
		config: &steer.Config{
			Version:  7,
			Services: map[string]*steer.Service{"reservas": {Name: "reservas"}},
			Blocks:   []steer.Block{},
		},
	}
	for r, region := range []string{"golfo", "pacifico", "altiplano"} {
		for i := range 2 {
			name := fmt.Sprint(region, "-", i+1)
			f.config.Fleet.DataCentres = append(f.config.Fleet.DataCentres, steer.DataCentre{
				Name:   name,
				Region: region,
			})
			f.config.Blocks = append(f.config.Blocks, steer.Block{
				Prefix:     netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(2*r + i), 0, 0}), 16),
				DataCentre: name,
			})
			for n := range hosts {
				f.members = append(f.members, steer.Member{
					ID:         fmt.Sprint(name, "-", string(rune('a'+n))),
					DataCentre: name,
					Region:     region,
					Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(2*r + i), 1, byte(n)}), 8080),
					State: steer.HostState{
						Version: 7,
						Slots:   []steer.SlotClaim{{Slot: n}},
					},
				})
			}
		}
	}
	link := func(from, to string, delay time.Duration) {
		f.config.Fleet.Links = append(f.config.Fleet.Links, steer.Link{
			From:  from,
			To:    to,
			Delay: delay,
		})
	}
	link("golfo", "pacifico", 30*time.Millisecond)
	link("golfo", "altiplano", 20*time.Millisecond)
	link("altiplano", "golfo", 20*time.Millisecond)
	f.self = f.members[0]
	f.members = f.members[1:]
	return f
}

func (f *fleet) finder() *lookup.Finder {
	return lookup.New(lookup.Config{
		Self:    func() steer.Member { return f.self },
		Members: func() []steer.Member { return f.members },
		Source:  f,
		Blocks:  block.NewTable(f.config.Blocks),
		Tickets: f,
		Seed:    1,
	})
}

func (f *fleet) change(id string, change func(*steer.Member)) {
	if f.self.ID == id {
		change(&f.self)
	}
	for i := range f.members {
		if f.members[i].ID == id {
			change(&f.members[i])
		}
	}
}

func find(f *lookup.Finder, from string, ticket bool) (*gen.LookupAnswer, error) {
	return f.Find(context.Background(), &gen.FindPayload{
		Service: "reservas",
		Client:  &from,
		Ticket:  ticket,
	})
}

// dataCentres returns the data centres of the hosts in the answer, in order.
func dataCentres(a *gen.LookupAnswer) string {
	var names []string
	for _, h := range a.Hosts {
		names = append(names, h.DataCentre)
	}
	return strings.Join(names, " ")
}

// Guards against callers that are sent far away, and against answers whose hosts all fail with one data centre or region.
func TestOrderOfHosts(t *testing.T) {
	for _, c := range []struct {
		hosts  int
		from   string
		ticket bool
		want   string
	}{
		{hosts: 3, from: "10.0.9.9", want: "golfo-1 golfo-1 golfo-2 altiplano-1|altiplano-2"},
		{hosts: 3, from: "10.1.9.9", want: "golfo-2 golfo-2 golfo-1 altiplano-1|altiplano-2"},
		{hosts: 3, from: "10.1.9.9", ticket: true, want: "golfo-1 golfo-2 golfo-1 altiplano-1|altiplano-2"},
		{hosts: 1, from: "10.0.9.9", want: "golfo-1 golfo-2 altiplano-1|altiplano-2 altiplano-1|altiplano-2"},
		{hosts: 1, from: "10.4.9.9", want: "altiplano-1 altiplano-2 golfo-1|golfo-2 golfo-1|golfo-2"},
		{hosts: 3, from: "10.2.9.9", want: "pacifico-1 pacifico-1 pacifico-2 golfo-1|golfo-2"}, // No link; fleet order.
		{hosts: 3, from: "192.0.2.1", want: "golfo-1 golfo-1 golfo-2 altiplano-1|altiplano-2"},
		{hosts: 3, from: "", want: "golfo-1 golfo-1 golfo-2 altiplano-1|altiplano-2"},
	} {
		f := newFleet(c.hosts)
		finder := f.finder()
		for range 100 {
			a, err := find(finder, c.from, c.ticket)
			assert.NilError(t, err)
			got := strings.Fields(dataCentres(a))
			for i, alternatives := range strings.Fields(c.want) {
				assert.Assert(t, strings.Contains("|"+alternatives+"|", "|"+got[i]+"|"), "%v, want %v", got, c.want)
			}
			seen := map[string]bool{}
			for _, h := range a.Hosts {
				assert.Assert(t, !seen[h.ID], "%s twice", h.ID)
				seen[h.ID] = true
			}
			assert.Equal(t, a.TTLMs, int64(5000))
			assert.Equal(t, a.Version, uint64(7))
			assert.Equal(t, a.Ticket != nil, c.ticket)
			if c.ticket {
				assert.Equal(t, a.Hosts[0].ID, f.self.ID)
			}
		}
	}
}

// Guards against a data centre where the first host gets all callers.
func TestCallersAreSpread(t *testing.T) {
	finder := newFleet(3).finder()
	first := map[string]int{}
	for range 3000 {
		a, err := find(finder, "10.0.9.9", false)
		assert.NilError(t, err)
		first[a.Hosts[0].ID]++
	}
	assert.Equal(t, len(first), 3)
	for id, count := range first {
		assert.Assert(t, count > 900 && count < 1100, "%s got %d of 3000", id, count)
	}
}

// Guards against answers with hosts that would refuse the request.
func TestUnfitHostsAreExcluded(t *testing.T) {
	for reason, change := range map[string]func(*steer.Member){
		"stopping":              func(m *steer.Member) { m.State.Stopping = true },
		"suspect":               func(m *steer.Member) { m.Suspect = true },
		"out of quota":          func(m *steer.Member) { m.State.Slots = nil },
		"without configuration": func(m *steer.Member) { m.State.Version = 0 },
		"not in the fleet file": func(m *steer.Member) { m.DataCentre = "golfo-9" },
		"without an address":    func(m *steer.Member) { m.Address = netip.AddrPort{} },
	} {
		f := newFleet(2)
		for _, id := range []string{"golfo-1-b", "golfo-2-a"} {
			f.change(id, change)
		}
		finder := f.finder()
		for range 20 {
			a, err := find(finder, "10.0.0.1", false)
			assert.NilError(t, err)
			assert.Equal(t, a.Hosts[0].ID, "golfo-1-a", reason)
			assert.Equal(t, a.Hosts[1].ID, "golfo-2-b", reason)
			assert.Equal(t, len(a.Hosts), 4)
		}
		steps := finder.Explain(time.Now(), "reservas", netip.MustParseAddr("10.0.0.1"))
		last := steps[len(steps)-1]
		assert.Equal(t, last.Outcome, "left out: host golfo-2-a")
		assert.Assert(t, strings.Contains(last.Reason, reason), last.Reason)
		if reason == "suspect" {
			continue // A host doesn't suspect itself.
		}
		f = newFleet(1)
		f.change("golfo-1-a", change)
		a, err := find(f.finder(), "10.0.0.1", false)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(dataCentres(a), "golfo-1"))
		_, err = find(f.finder(), "10.0.0.1", true)
		assert.ErrorContains(t, err, reason)
	}
}

// Guards against errors that a caller can't tell apart.
func TestErrorNames(t *testing.T) {
	name := func(err error) string {
		var named interface{ GoaErrorName() string }
		if !errors.As(err, &named) {
			return ""
		}
		return named.GoaErrorName()
	}
	f := newFleet(1)
	_, err := find(f.finder(), "10.0.0", false)
	assert.Equal(t, name(err), "bad-request")
	_, err = f.finder().Find(context.Background(), &gen.FindPayload{Service: "unknown"})
	assert.Equal(t, name(err), "bad-request")
	f.ticket = errors.New("table full")
	_, err = find(f.finder(), "10.0.0.1", true)
	assert.Equal(t, name(err), "unavailable")
	for i := range f.config.Fleet.DataCentres {
		f.config.Fleet.DataCentres[i].Down = true
	}
	_, err = find(f.finder(), "10.0.0.1", false)
	assert.Equal(t, name(err), "unavailable")
	finder := f.finder()
	f.config = nil
	_, err = find(finder, "10.0.0.1", false)
	assert.Equal(t, name(err), "unavailable")
	steps := finder.Explain(time.Now(), "reservas", netip.Addr{})
	assert.Equal(t, steps[0].Outcome, "refused")
}

// serve runs the look-up endpoint on loopback.
func serve(t testing.TB, f *lookup.Finder) string {
	mux := goahttp.NewMuxer()
	f.Mount(mux)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{
		Handler:     mux,
		ConnContext: lookup.ConnContext,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return listener.Addr().String()
}

// Guards against an answer that the generated client can't decode, and against ignoring the address of the connection.
func TestLookupOverHTTP(t *testing.T) {
	f := newFleet(2)
	f.config.Blocks = append(f.config.Blocks, steer.Block{
		Prefix:     netip.MustParsePrefix("127.0.0.0/8"),
		DataCentre: "pacifico-2",
	})
	host := serve(t, f.finder())
	doer := &http.Client{Transport: &http.Transport{}}
	defer doer.CloseIdleConnections()
	c := client.NewClient("http", host, doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	answer, err := c.Find()(t.Context(), &gen.FindPayload{
		Service: "reservas",
		Ticket:  true,
	})
	assert.NilError(t, err)
	a := answer.(*gen.LookupAnswer)
	assert.Equal(t, dataCentres(a), "golfo-1 pacifico-2 pacifico-1 golfo-1")
	assert.Equal(t, *a.Ticket, "ticket-of-golfo-1-a")
	_, err = c.Find()(t.Context(), &gen.FindPayload{Service: "unknown"})
	assert.ErrorContains(t, err, "unknown service")
}

// fillBlocks adds blocks until there are a million.
func (f *fleet) fillBlocks() {
	for i := len(f.config.Blocks); i < 1_000_000; i++ {
		f.config.Blocks = append(f.config.Blocks, steer.Block{
			Prefix:     netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(20 + i>>16), byte(i >> 8), byte(i), 0}), 24),
			DataCentre: f.config.Fleet.DataCentres[i%6].Name,
		})
	}
}

func BenchmarkFind(b *testing.B) {
	f := newFleet(2)
	f.fillBlocks()
	finder := f.finder()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := find(finder, "25.1.2.3", false); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHTTP measures look-ups over loopback with keep-alive through the goa handler. Server and callers share one
// core, so the server alone would reach a higher rate.
func BenchmarkHTTP(b *testing.B) {
	f := newFleet(2)
	f.fillBlocks()
	address := serve(b, f.finder())
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const callers = 16
	var group sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	for n := range callers {
		group.Go(func() { sendLookups(b, address, b.N/callers+1, n) })
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "look-ups/s")
}

// sendLookups sends look-ups one after another on one connection, with as little work per answer as possible.
func sendLookups(b *testing.B, address string, count, n int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for i := range count {
		request := fmt.Sprintf("GET /v1/lookup?service=reservas&client=%d.%d.7.8 HTTP/1.1\r\nHost: h\r\n\r\n", 20+n%15, i&0xff)
		if _, err = io.WriteString(conn, request); err == nil {
			err = discardResponse(in)
		}
		if err != nil {
			b.Error(err)
			return
		}
	}
}

func discardResponse(in *bufio.Reader) error {
	line, err := in.ReadString('\n')
	if err != nil || !strings.Contains(line, " 200 ") {
		return fmt.Errorf("answer %q: %w", line, err)
	}
	length := 0
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= 2 {
			_, err = in.Discard(length)
			return err
		}
		if text, ok := strings.CutPrefix(string(line), "Content-Length: "); ok {
			length, _ = strconv.Atoi(strings.TrimSpace(text))
		}
	}
}
