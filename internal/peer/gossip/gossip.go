package gossip

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/answer"
	"monsoonhub.example/steer/internal/ops/guard"
	"monsoonhub.example/steer/internal/quota/share"
)

// Path is the path of the peer listener at which Handler is mounted.
const Path = "/v1/peers"

const (
	// gossipInterval is the time between two rounds of messages. It is short because quotas must hold over windows of seconds.
	gossipInterval = 250 * time.Millisecond

	// aliveTimeout is the time without a message after which a host is passed over as speaker or leader. It is some rounds.
	aliveTimeout = 800 * time.Millisecond

	// recipientsPerDataCentre is the number of hosts of another data centre that receive messages in turn, so that the loss of
	// one host does not cut off the data centre.
	recipientsPerDataCentre = 2

	// lapsedRetention is the time for which messages are still sent to a host after its registration ended. Its share of quotas
	// is kept for as long.
	lapsedRetention = 20 * time.Second

	// maxHintAge is the time for which a hint that was received is passed on.
	maxHintAge = time.Second
)

// Config configures a Gossiper. The functions Hint, Notes, OnNotes, Limits, OnLimits, Speeds, OnSpeeds, Crashes, OnCrashes, Admission,
// OnAdmission, Load, OnLoad, Changes and OnAsked are optional.
type Config struct {
	Host         string
	DataCentre   string
	Region       string
	PeerAddress  netip.AddrPort                                                    // Listener of this host at which Handler is mounted. Optional.
	Usage        func(now time.Time) share.Report                                  // Returns the usage of this host. Called once a round.
	Sum          func(peers []string) (share.Report, int)                          // Returns the usage and number of this host and the peers.
	Hint         func(now time.Time) (Hint, bool)                                  // Returns the hint for cut-off hosts; false if none.
	Notes        func(now time.Time) []steer.TargetObservation                     // Returns own observations since the last round.
	OnNotes      func(now time.Time, notes []steer.TargetObservation)              // Called with observations of other hosts of the region.
	Limits       func(now time.Time) []steer.LimitObservation                      // Returns own news of limits since the last round.
	OnLimits     func(now time.Time, limits []steer.LimitObservation)              // Called with limits that other hosts of any region saw.
	Speeds       func(now time.Time) []steer.SpeedObservation                      // Returns own samples of targets that others need.
	OnSpeeds     func(now time.Time, list []steer.SpeedObservation)                // Called with samples of other hosts of the region, once each.
	Crashes      func(now time.Time) []steer.CrashReport                           // Returns the crashes to be reported in this round.
	OnCrashes    func(now time.Time, crashes []steer.CrashReport)                  // Called with crashes that another host reported.
	Admission    func(now time.Time) []steer.AdmissionReport                       // Returns the own reports on admission.
	OnAdmission  func(now time.Time, peer string, reports []steer.AdmissionReport) // Called with those of a host or of the data centre.
	Load         func(now time.Time) (steer.HostLoad, bool)                        // Returns the load to be reported in this round; false if none.
	OnLoad       func(at time.Time, r LoadReport)                                  // Called with the load of another host at a time.
	OnPeerStatus func(now time.Time, peerStatus PeerStatus)                        // Called for each report of usage and hints.
	Changes      func(now time.Time, from string, c steer.Changes)                 // Called with changes of entries that another host relayed.
	OnAsked      func(host string)                                                 // Called when another host asks this one for all entries.
	Logger       log.Logger                                                        // Nil means no logging.
	Metrics      metrics.Registry                                                  // Nil means a private registry.
}

// LoadReport is the load of another host of the data centre, or of a host that speaks for another data centre.
type LoadReport struct {
	Host       string // ID of the host; empty if its report is passed on, with ExtraHosts only.
	DataCentre string
	Load       steer.HostLoad
}

// PeerStatus is the report of another host or of a data centre.
type PeerStatus struct {
	PeerID            string // ID of the host, or DataCentrePeerID of the data centre. Empty if Usage is not set.
	ReportedAt        time.Time
	Usage             share.Report
	Leaving           bool // The host accepts no more requests.
	PlatformReachable bool // The sender reaches the platform or passes on the hint of a host that does. Hint is set.
	Hint              Hint
}

// Hint is what hosts that are cut off from the platform learn of it from a host that reaches it.
type Hint struct {
	ReachableFor time.Duration            // How long that host has reached the platform.
	Emptied      []string                 // Data centres whose targets get no requests.
	Cold         map[string]time.Duration // Remaining warm-up time of targets, by id.
}

// DataCentrePeerID returns the peer id of a data centre that reports as a whole.
func DataCentrePeerID(dataCentre string) string { return "data-centre/" + dataCentre }

// Gossiper exchanges messages with other hosts. It is safe for concurrent use.
type Gossiper struct {
	config Config
	logger log.Logger
	guard  *guard.Guard
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu                sync.Mutex
	listingFrom       string // Host that the next round asks for all entries; empty for none.
	leaving           bool   // Leave was called, and no more rounds are sent.
	wasSpeaker        bool   // This host was the speaker of its data centre in the last round.
	round             int
	hosts             map[string]*host      // Other hosts, by id.
	usesLeaders       bool                  // The hosts of the data centre report through leaders.
	leaders           []*host               // Leaders of the data centre other than this host.
	isLeader          bool                  // This host is a leader of its data centre.
	wasLeader         bool                  // Value of isLeader that was last logged.
	reports           map[string]report     // Last reports of hosts of the data centre, by id, while this host is a leader.
	sentUsage         share.Report          // Usage that this host last sent to its leaders.
	admission         admissionTable        // Reports on admission of hosts of the data centre.
	remoteDataCentres map[string]*remoteSum // Sums of other data centres that were received since the last round, by name.
	localNotes        []agedNote            // Notes of this data centre, to be sent to others of the region.
	remoteNotes       []agedNote            // Notes of other data centres of the region, to be passed on in this one.
	localLimits       limitTable            // Limits that hosts of this data centre saw, to be sent to the others.
	remoteLimits      limitTable            // Limits that other data centres sent, to be passed on in this one.
	localSpeeds       []agedSpeeds          // Speeds that hosts of this data centre saw, to be sent to others of the region.
	remoteSpeeds      []agedSpeeds          // Those of other data centres of the region, to be passed on in this one.
	speedRounds       map[string]int64      // Last round of which speeds were taken, by host.
	remote            *message              // Last message with a hint.
	messageReceivedAt time.Time             // When remote was received.
}

// host is the state of another host.
type host struct {
	entry          steer.HostEntry
	lapsedAt       time.Time // When its registration was first missing; zero while it is registered.
	lastHeard      time.Time
	candidateSince time.Time // Since when its id qualifies it as a leader; zero while others come first.
	silent         bool      // As last logged.
	link           *link     // Nil while this host sends it nothing.
}

// New starts the rounds of messages. Links are opened once SetHosts has named other hosts.
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
	if c.Limits == nil {
		c.Limits = func(time.Time) []steer.LimitObservation { return nil }
	}
	if c.OnLimits == nil {
		c.OnLimits = func(time.Time, []steer.LimitObservation) {}
	}
	if c.Speeds == nil {
		c.Speeds = func(time.Time) []steer.SpeedObservation { return nil }
	}
	if c.OnSpeeds == nil {
		c.OnSpeeds = func(time.Time, []steer.SpeedObservation) {}
	}
	if c.Crashes == nil {
		c.Crashes = func(time.Time) []steer.CrashReport { return nil }
	}
	if c.OnCrashes == nil {
		c.OnCrashes = func(time.Time, []steer.CrashReport) {}
	}
	if c.Load == nil {
		c.Load = func(time.Time) (steer.HostLoad, bool) { return steer.HostLoad{}, false }
	}
	if c.OnLoad == nil {
		c.OnLoad = func(time.Time, LoadReport) {}
	}
	if c.Admission == nil {
		c.Admission = func(time.Time) []steer.AdmissionReport { return nil }
	}
	if c.OnAdmission == nil {
		c.OnAdmission = func(time.Time, string, []steer.AdmissionReport) {}
	}
	if c.OnAsked == nil {
		c.OnAsked = func(string) {}
	}
	if c.Changes == nil {
		c.Changes = func(time.Time, string, steer.Changes) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gossiper{
		config: c,
		logger: log.With(c.Logger, "part", "gossip"),
		guard: guard.New(guard.Config{
			Logger:  c.Logger,
			Metrics: c.Metrics,
		}),
		client: &http.Client{
			Transport: answer.Transport{
				Base: &http.Transport{
					DialContext:            answer.Dial((&net.Dialer{}).DialContext),
					MaxResponseHeaderBytes: maxHeadBytes,
				},
			},
		},
		ctx:               ctx,
		cancel:            cancel,
		hosts:             map[string]*host{},
		reports:           map[string]report{},
		admission:         admissionTable{},
		remoteDataCentres: map[string]*remoteSum{},
		localLimits:       limitTable{},
		remoteLimits:      limitTable{},
		speedRounds:       map[string]int64{},
	}
	g.wait.Add(1)
	go func() {
		defer g.wait.Done()
		g.runRounds()
	}()
	return g
}

// Stop ends the rounds and closes all links.
func (g *Gossiper) Stop() {
	g.cancel()
	g.wait.Wait()
	g.client.CloseIdleConnections()
}

// SetHosts replaces the registered hosts and opens and closes links accordingly. Messages go on for some time to a host whose
// registration ended: a host that is cut off from the platform loses its registration and depends on other hosts the most.
func (g *Gossiper) SetHosts(now time.Time, entries []steer.HostEntry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	registered := map[string]bool{}
	for _, entry := range entries {
		if entry.ID == g.config.Host || !entry.PeerAddress.IsValid() {
			continue
		}
		registered[entry.ID] = true
		h := g.hosts[entry.ID]
		if h == nil {
			h = &host{}
			g.hosts[entry.ID] = h
		}
		if h.link != nil && (h.entry.PeerAddress != entry.PeerAddress || h.entry.Incarnation != entry.Incarnation) {
			h.closeLink()
		}
		h.entry, h.lapsedAt = entry, time.Time{}
	}
	for id, h := range g.hosts {
		switch {
		case registered[id]:
		case h.lapsedAt.IsZero():
			h.lapsedAt = now
		case now.Sub(h.lapsedAt) > lapsedRetention:
			h.closeLink()
			delete(g.hosts, id)
		}
	}
	localHosts := 0
	for id, h := range g.hosts {
		if registered[id] && h.entry.DataCentre == g.config.DataCentre {
			localHosts++
		}
	}
	g.usesLeaders = UsesLeaders(localHosts + 1)
	g.updateLinks(now)
}

// updateLinks opens the links that this host needs and closes the others. The caller holds mu.
func (g *Gossiper) updateLinks(now time.Time) {
	if g.ctx.Err() != nil {
		return
	}
	g.updateLeaders(now)
	wanted := map[*host]bool{}
	for _, h := range g.localPeers() {
		wanted[h] = true
	}
	if g.isSpeaker(now) {
		for _, list := range g.remoteRecipients() {
			for _, h := range list {
				wanted[h] = true
			}
		}
	}
	for _, h := range g.hosts {
		switch {
		case !wanted[h]:
			h.closeLink()
		case h.link == nil:
			h.link = g.openLink(h.entry)
		}
	}
}

func (h *host) closeLink() {
	if h.link != nil {
		h.link.cancel()
		h.link = nil
	}
}

// localHosts returns the other hosts of this host's data centre.
func (g *Gossiper) localHosts() []*host {
	var list []*host
	for _, h := range g.hosts {
		if h.entry.DataCentre == g.config.DataCentre {
			list = append(list, h)
		}
	}
	return list
}

// remoteRecipients returns the hosts of each other data centre that receive messages: the first ones by id, registered ones
// before others.
func (g *Gossiper) remoteRecipients() map[string][]*host {
	recipients := map[string][]*host{}
	for _, id := range slices.Sorted(maps.Keys(g.hosts)) {
		if h := g.hosts[id]; h.entry.DataCentre != g.config.DataCentre {
			recipients[h.entry.DataCentre] = append(recipients[h.entry.DataCentre], h)
		}
	}
	for name, list := range recipients {
		slices.SortStableFunc(list, func(a, b *host) int {
			switch {
			case a.lapsedAt.IsZero() == b.lapsedAt.IsZero():
				return 0
			case a.lapsedAt.IsZero():
				return -1
			default:
				return 1
			}
		})
		recipients[name] = list[:min(len(list), recipientsPerDataCentre)]
	}
	return recipients
}

// isSpeaker reports whether this host is the speaker of its data centre.
func (g *Gossiper) isSpeaker(now time.Time) bool {
	if g.usesLeaders && !g.isLeader {
		return false
	}
	for _, h := range g.localHosts() {
		if h.entry.ID < g.config.Host && now.Sub(h.lastHeard) < aliveTimeout {
			return false
		}
	}
	return true
}

// Leave sends the other hosts of the data centre the message that this host accepts no more requests. No round follows it.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.setPending(&message{
		Host:       g.config.Host,
		DataCentre: g.config.DataCentre,
		Leaving:    true,
	}, g.localHosts())
}

// Relay sends changes of entries to the other hosts of the data centre. It never blocks: a host that misses changes gets them
// from the platform, or asks for them.
func (g *Gossiper) Relay(c steer.Changes) { g.relayTo(c, func(string) bool { return true }) }

// Answer sends all entries to a host of the data centre that asked for them.
func (g *Gossiper) Answer(host string, listing steer.Changes) {
	g.relayTo(listing, func(id string) bool { return id == host })
}

func (g *Gossiper) relayTo(c steer.Changes, wanted func(id string) bool) {
	data, err := encode(&message{
		Host:         g.config.Host,
		DataCentre:   g.config.DataCentre,
		EntryChanges: toWireChanges(c),
	})
	if err != nil {
		_ = level.Error(g.logger).Log("msg", "Failed to encode entry changes.", "err", err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.localHosts() {
		if h.link != nil && wanted(h.entry.ID) {
			h.link.enqueueChanges(data)
		}
	}
}

// AskListing asks a host of the data centre for all entries, with the next round.
func (g *Gossiper) AskListing(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listingFrom = host
}

// setPending replaces the pending message of each link to the given hosts.
func (g *Gossiper) setPending(m *message, hosts []*host) {
	data, err := encode(m)
	if err != nil {
		_ = level.Error(g.logger).Log("msg", "Failed to encode message.", "err", err)
		return
	}
	for _, h := range hosts {
		if h.link != nil {
			h.link.setPending(data)
		}
	}
}
