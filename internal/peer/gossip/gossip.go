package gossip

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/ops/guard"
	"monsoonhub.example/steer/internal/quota/share"
)

// Path is the path of the peer listener at which Handler is mounted.
const Path = "/v1/peers"

const (
	// tellEvery is the time between two rounds of messages. Quotas must hold over windows of seconds.
	tellEvery = 250 * time.Millisecond

	// aliveTime is the time without a message after which a host does not count for the choice of the speaker: some rounds.
	aliveTime = 800 * time.Millisecond

	// listeners is the number of hosts of another data centre that are told in turn, so that the loss of one is bridged.
	listeners = 2

	// lapseTime is the time for which a host is told after its registration ended: as long as its part of quotas is kept.
	lapseTime = 20 * time.Second

	// hintTime is the age up to which the hint of another data centre is passed on.
	hintTime = time.Second
)

// Config configures a Gossiper.
type Config struct {
	Host         string
	DataCentre   string
	Region       string
	Usage        func(now time.Time) share.Report                     // Of this host. Called once for each round.
	Sum          func(peers []string) (share.Report, int)             // Of this host and others together, with their number.
	Hint         func(now time.Time) (Hint, bool)                     // For hosts that do not reach the platform; false without one.
	Notes        func(now time.Time) []steer.TargetObservation        // What this host saw of targets since the last round. Nil means nothing.
	OnNotes      func(now time.Time, notes []steer.TargetObservation) // Called for what others of the region saw.
	OnPeerStatus func(now time.Time, news PeerStatus)                 // Called for each message with news of quotas and hints.
	Changes      func(now time.Time, from string, c steer.Changes)    // Called for changes of entries.
	Logger       log.Logger                                           // Nil means no logging.
	Metrics      metrics.Registry                                     // Nil means a private registry.
}

// PeerStatus is what a host or data centre tells.
type PeerStatus struct {
	PeerID            string // ID of the host, or DataCentrePeerID of the data centre. Empty if it tells nothing of quotas.
	ReportedAt        time.Time
	Usage             share.Report
	Leaving           bool // The host takes no more requests.
	PlatformReachable bool // It reaches the platform, and Hint is set.
	Hint              Hint
}

// Hint is what a host that reaches the platform tells those that do not.
type Hint struct {
	ReachableFor time.Duration            // For how long it has reached the platform.
	Emptied      []string                 // Data centres whose targets get no requests.
	Cold         map[string]time.Duration // For how much longer targets are cold, by id.
}

// DataCentrePeerID is the id of a data centre that reports as a whole.
func DataCentrePeerID(dataCentre string) string { return "data-centre/" + dataCentre }

// Gossiper keeps the links of a host.
type Gossiper struct {
	config Config
	logger log.Logger
	guard  *guard.Guard
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu      sync.Mutex
	left    bool // The last message was that this host leaves.
	speaker bool // This host spoke for its data centre in the last round.
	round   int
	hosts   map[string]*host     // Others, by id.
	grouped bool                 // The hosts of the data centre report together.
	leaders []*host              // Others that lead the data centre.
	leads   bool                 // This host does.
	led     bool                 // As last logged.
	reports map[string]report    // What hosts of the data centre last told this one, by id, while it leads.
	told    share.Report         // What this host last told its leaders.
	centres map[string]*heardSum // What other data centres told this host since the last round.
	seen    []agedNote           // Notes of the own data centre for others of the region.
	passed  []agedNote           // Notes of those for the own data centre.
	foreign *message             // The last message of a host that reaches the platform.
	came    time.Time            // When foreign came.
}

// host is what is known of another host.
type host struct {
	entry  steer.HostEntry
	lapsed time.Time // When its registration was missed; zero while it is registered.
	heard  time.Time
	due    time.Time // Since when it should be heard as a leader; zero while others come first.
	silent bool      // As last logged.
	link   *link     // Nil while none is wanted.
}

// New starts to tell.
func New(c Config) *Gossiper {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Hint == nil {
		c.Hint = func(time.Time) (Hint, bool) { return Hint{}, false }
	}
	if c.Notes == nil {
		c.Notes = func(time.Time) []steer.TargetObservation { return nil }
	}
	if c.OnNotes == nil {
		c.OnNotes = func(time.Time, []steer.TargetObservation) {}
	}
	if c.Changes == nil {
		c.Changes = func(time.Time, string, steer.Changes) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Gossiper{
		config: c,
		logger: log.With(c.Logger, "part", "gossip"),
		guard: guard.New(guard.Config{
			Logger:  c.Logger,
			Metrics: c.Metrics,
		}),
		client:  &http.Client{},
		ctx:     ctx,
		cancel:  cancel,
		hosts:   map[string]*host{},
		reports: map[string]report{},
		centres: map[string]*heardSum{},
	}
	t.wait.Add(1)
	go func() {
		defer t.wait.Done()
		t.rounds()
	}()
	return t
}

// Stop closes all links.
func (t *Gossiper) Stop() {
	t.cancel()
	t.wait.Wait()
	t.client.CloseIdleConnections()
}

// SetHosts takes the hosts that are registered. Others are told for some time more: a host that is cut off from the platform
// loses its registration, and needs the word of others most.
func (t *Gossiper) SetHosts(now time.Time, entries []steer.HostEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	registered := map[string]bool{}
	for _, entry := range entries {
		if entry.ID == t.config.Host || !entry.PeerAddress.IsValid() {
			continue
		}
		registered[entry.ID] = true
		h := t.hosts[entry.ID]
		if h == nil {
			h = &host{}
			t.hosts[entry.ID] = h
		}
		if h.link != nil && (h.entry.PeerAddress != entry.PeerAddress || h.entry.Incarnation != entry.Incarnation) {
			h.unlink()
		}
		h.entry, h.lapsed = entry, time.Time{}
	}
	for id, h := range t.hosts {
		switch {
		case registered[id]:
		case h.lapsed.IsZero():
			h.lapsed = now
		case now.Sub(h.lapsed) > lapseTime:
			h.unlink()
			delete(t.hosts, id)
		}
	}
	mates := 0
	for id, h := range t.hosts {
		if registered[id] && h.entry.DataCentre == t.config.DataCentre {
			mates++
		}
	}
	t.grouped = UsesLeaders(mates + 1)
	t.connect(now)
}

// connect opens the links that are wanted and closes the others. The caller holds mu.
func (t *Gossiper) connect(now time.Time) {
	if t.ctx.Err() != nil {
		return
	}
	t.lead(now)
	wanted := map[*host]bool{}
	for _, h := range t.heardBy() {
		wanted[h] = true
	}
	if t.speaks(now) {
		for _, list := range t.others() {
			for _, h := range list {
				wanted[h] = true
			}
		}
	}
	for _, h := range t.hosts {
		switch {
		case !wanted[h]:
			h.unlink()
		case h.link == nil:
			h.link = t.open(h.entry)
		}
	}
}

func (h *host) unlink() {
	if h.link != nil {
		h.link.cancel()
		h.link = nil
	}
}

// mates returns the other hosts of the own data centre.
func (t *Gossiper) mates() []*host {
	var list []*host
	for _, h := range t.hosts {
		if h.entry.DataCentre == t.config.DataCentre {
			list = append(list, h)
		}
	}
	return list
}

// others returns the hosts of each other data centre that are told: the first ones by id, registered ones first.
func (t *Gossiper) others() map[string][]*host {
	centres := map[string][]*host{}
	for _, id := range slices.Sorted(maps.Keys(t.hosts)) {
		if h := t.hosts[id]; h.entry.DataCentre != t.config.DataCentre {
			centres[h.entry.DataCentre] = append(centres[h.entry.DataCentre], h)
		}
	}
	for name, list := range centres {
		slices.SortStableFunc(list, func(a, b *host) int {
			switch {
			case a.lapsed.IsZero() == b.lapsed.IsZero():
				return 0
			case a.lapsed.IsZero():
				return -1
			default:
				return 1
			}
		})
		centres[name] = list[:min(len(list), listeners)]
	}
	return centres
}

// speaks reports whether this host speaks for its data centre.
func (t *Gossiper) speaks(now time.Time) bool {
	if t.grouped && !t.leads {
		return false
	}
	for _, h := range t.mates() {
		if h.entry.ID < t.config.Host && now.Sub(h.heard) < aliveTime {
			return false
		}
	}
	return true
}

// Leave tells the other hosts of the data centre that this one takes no more requests.
func (t *Gossiper) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left = true
	t.offer(&message{
		Host:       t.config.Host,
		DataCentre: t.config.DataCentre,
		Leaving:    true,
	}, t.mates())
}

// Relay passes changes of entries on to the other hosts of the data centre. It never blocks: a host that misses some asks the
// platform.
func (t *Gossiper) Relay(c steer.Changes) {
	data, err := encode(&message{
		Host:       t.config.Host,
		DataCentre: t.config.DataCentre,
		Entries:    wireEntries(c),
	})
	if err != nil {
		_ = level.Error(t.logger).Log("msg", "Changes cannot be encoded.", "err", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.mates() {
		if h.link != nil {
			h.link.pass(data)
		}
	}
}

// offer replaces the message that waits at each link of the given hosts.
func (t *Gossiper) offer(m *message, hosts []*host) {
	data, err := encode(m)
	if err != nil {
		_ = level.Error(t.logger).Log("msg", "Message cannot be encoded.", "err", err)
		return
	}
	for _, h := range hosts {
		if h.link != nil {
			h.link.offer(data)
		}
	}
}
