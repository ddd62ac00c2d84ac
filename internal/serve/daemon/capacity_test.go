package daemon_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/plat/kvmem"
	"monsoonhub.example/steer/internal/plat/target"
	"monsoonhub.example/steer/internal/serve/daemon"
)

const (
	// siteSlots is the capacity of the service convoyes in a data centre: two targets of four slots.
	siteSlots   = 8
	convoyTime  = 200 * time.Millisecond // Service time.
	siteRate    = 40                     // Requests/s of a data centre.
	convoyRate  = 180                    // 75 % of what six data centres answer and 112 % of what four do.
	convoyQueue = 60 * time.Millisecond

	ramp    = time.Second
	timeout = 2 * time.Second // More than a wait of convoyQueue in each data centre.

	// drainLimit is the time in which the spare capacity works off the requests that wait at the end of the ramp. They wait
	// for at most convoyQueue in each data centre.
	drainLimit = 6 * convoyQueue * convoyRate / (6*siteRate - convoyRate)

	shiftRate, shiftBurst = 20, 20
	betaRate, betaBurst   = 100, 50 // Of the fleet's file of customers.

	// returnLimit is the lease of a slot, the takeover wait, and the jitter and pause of attempts to take it.
	returnLimit = 12*time.Second + 2120*time.Millisecond + 1500*time.Millisecond
)

// stand is a target with its server and the gauge of its data centre.
type stand struct {
	*target.Target
	id, service, dataCentre string
	server                  *http.Server
	gauge                   *gauge
	leaving                 bool
}

// gauge keeps the requests at the targets of convoyes in one data centre, waiting ones included.
type gauge struct {
	mu   sync.Mutex
	uses []use
}

// use is the time of a request at a target, until the last byte of its answer, after which the host may send the next one.
type use struct {
	from, to time.Time
	whole    bool // Answered whole.
}

// ServeHTTP implements http.Handler.
func (s *stand) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.service != "convoyes" || strings.HasPrefix(r.URL.Path, "/target/") {
		s.Target.ServeHTTP(w, r)
		return
	}
	c := &counted{
		ResponseWriter: w,
		left:           64,
	}
	c.from = time.Now()
	defer func() {
		if !c.whole {
			c.to = time.Now()
		}
		s.gauge.mu.Lock()
		defer s.gauge.mu.Unlock()
		s.gauge.uses = append(s.gauge.uses, c.use)
	}()
	s.Target.ServeHTTP(c, r)
}

// most returns the most requests at once from a time until another one. Those that the loss of their host cut count until
// the loss, since a target notices it later than the host that frees their capacity.
func (g *gauge) most(from, to, lost, aborted time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := 0
	for _, x := range g.uses {
		count := 0
		for _, u := range g.uses {
			cut := !u.whole && u.from.Before(aborted) && x.from.After(lost)
			if !cut && !u.from.After(x.from) && u.to.After(x.from) {
				count++
			}
		}
		if x.from.After(from) && x.from.Before(to) {
			most = max(most, count)
		}
	}
	return most
}

type counted struct {
	http.ResponseWriter
	use
	left int // Bytes of the answer.
}

func (c *counted) Write(b []byte) (int, error) {
	if c.left -= len(b); c.left <= 0 {
		c.to = time.Now()
		c.whole = true
	}
	return c.ResponseWriter.Write(b)
}

func (c *counted) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// world is the fleet with two services: convoyes near its capacity, and reservas with spare capacity and a shift.
type world struct {
	*fleet
	started []*stand
	stands  []*stand          // In the steering files.
	gauges  map[string]*gauge // By data centre.
	left    []departure
}

// deploy starts two targets of each service in a data centre.
func (w *world) deploy(dataCentre string) {
	for _, c := range []target.Config{
		{
			ID:          "reservas",
			Slots:       16,
			ServiceTime: 5 * time.Millisecond,
		},
		{
			ID:          "convoyes",
			Slots:       siteSlots / 2,
			ServiceTime: convoyTime,
			ColdStart:   ramp / 2,
		},
	} {
		service := c.ID
		if w.gauges[dataCentre] == nil {
			w.gauges[dataCentre] = &gauge{}
		}
		for range 2 {
			c.ID = fmt.Sprintf("t%d", len(w.targets))
			c.Seed = seed
			s := &stand{
				Target:     target.New(c),
				id:         c.ID,
				service:    service,
				dataCentre: dataCentre,
				gauge:      w.gauges[dataCentre],
			}
			s.server = w.listen(s)
			w.targets[s.id] = s.Target
			w.started = append(w.started, s)
			w.stands = append(w.stands, s)
		}
	}
}

func (w *world) writeServices() {
	shift := func(name, from, to string, rate int) string {
		return fmt.Sprintf("shifts:\n  - {name: %s, from: %s, to: %s, part: 1, rate: %d, burst: %d}\n", name, from, to, rate,
			shiftBurst)
	}
	for service, text := range map[string]string{
		"reservas": shift("sur", "golfo", "pacifico", shiftRate),
		// The shift of convoyes keeps forwarded requests in progress in the region that is lost.
		"convoyes": fmt.Sprintf("queue-limit: %v\nramp: %v\n", convoyQueue, ramp) +
			shift("alto", "pacifico", "altiplano", shiftRate/2),
	} {
		slots := siteSlots / 2
		if service == "reservas" {
			slots = 16
		}
		text = fmt.Sprintf("kind: service\nname: %s\ntimeout: %v\n%sroutes:\n  - prefix: /\ntargets:\n", service, timeout, text)
		for _, s := range w.stands {
			if s.service == service {
				text += fmt.Sprintf("  - {id: %s, data-centre: %s, address: %s, slots: %d, leaving: %v}\n", s.id, s.dataCentre,
					s.server.Addr, slots, s.leaving)
			}
		}
		w.write(service, text)
	}
}

// entry returns the host that the n-th request of callers enters, the data centres in turn. As in look-up answers, hosts
// out of quota are left out, and the hosts of the others replace those of a lost data centre.
func (w *world) entry(n int) *daemon.Host {
	list := slices.DeleteFunc(w.running(), func(h *daemon.Host) bool { return h.Self().State.OutOfQuota })
	near := slices.DeleteFunc(slices.Clone(list), func(h *daemon.Host) bool {
		return h.Self().DataCentre != dataCentres[n%len(dataCentres)]
	})
	if len(near) > 0 {
		list = near
	}
	if len(list) == 0 {
		return w.anyHost(n)
	}
	return list[n/len(dataCentres)%len(list)]
}

// anyHost returns all hosts in turn, nil when none runs.
func (w *world) anyHost(n int) *daemon.Host {
	list := w.running()
	if len(list) == 0 {
		return nil
	}
	return list[n%len(list)]
}

// stream sends requests at a rate per second, one in five a GET, until stop is called. The path starts with the region
// that the request enters.
func (w *world) stream(service, customer string, rate int, entry func(n int) *daemon.Host) (stop func() []result) {
	ctx, cancel := context.WithCancel(w.Context())
	var (
		group   sync.WaitGroup
		mu      sync.Mutex
		results []result
	)
	group.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(rate))
		defer tick.Stop()
		for n := 0; ctx.Err() == nil; n++ {
			group.Go(func() {
				method := http.MethodPost
				if n%5 == 0 {
					method = http.MethodGet
				}
				h := entry(n)
				if h == nil {
					// All hosts are closed after the test failed; its first failure is the one to report.
					assert.Check(w, ctx.Err() != nil, "no host runs")
					return
				}
				path := fmt.Sprintf("/%s/%s/%s/%d", h.Self().Region, service, customer, n)
				r := w.sendTo(service, h.Address().String(), method, path, customer, "")
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
			<-tick.C
		}
	})
	return func() []result {
		cancel()
		group.Wait()
		return results
	}
}

// perSecond returns the rate at which the targets of convoyes in a region started requests.
func (w *world) perSecond(in string, from, to time.Time) float64 {
	count := 0
	for _, s := range w.started {
		if s.service != "convoyes" || region(s.dataCentre) != in {
			continue
		}
		for _, r := range s.Record() {
			if r.Started.After(from) && r.Started.Before(to) {
				count++
			}
		}
	}
	return float64(count) / to.Sub(from).Seconds()
}

// departure is the announcement that a target leaves.
type departure struct {
	*stand
	during string
	at     time.Time // It could be known.
	before int       // Requests until then.
}

// leave announces that the first target of reservas in a data centre leaves, by its own signal or by the steering file.
func (w *world) leave(dataCentre, during string, signal bool) {
	s := w.stands[slices.IndexFunc(w.stands, func(s *stand) bool {
		return s.service == "reservas" && s.dataCentre == dataCentre
	})]
	before := len(s.Record())
	if signal {
		s.SetMode(target.Drain)
	} else {
		s.leaving = true
		w.writeServices()
		w.publish()
	}
	w.left = append(w.left, departure{
		stand:  s,
		during: during,
		at:     time.Now(),
		before: before,
	})
}

// loseRegion ends all hosts and targets of a region and one more host at once.
func (w *world) loseRegion(name string, more *daemon.Host) {
	hosts := []*daemon.Host{more}
	for _, h := range w.running() {
		if h.Self().Region == name {
			hosts = append(hosts, h)
		}
	}
	for _, s := range w.stands {
		if region(s.dataCentre) == name {
			_ = s.server.Close()
		}
	}
	w.abort(hosts...)
}

// replaceTargets puts new targets in the place of those of a lost region and waits until all hosts know them.
func (w *world) replaceTargets(name string) {
	w.stands = slices.DeleteFunc(w.stands, func(s *stand) bool { return region(s.dataCentre) == name })
	for _, d := range dataCentres {
		if region(d) == name {
			w.deploy(d)
		}
	}
	w.writeServices()
	version := w.publish()
	w.within("version in force", forceLimit, func() bool {
		return w.all(func(s steer.HostState) bool { return s.Version >= version })
	})
}

// A region and one host of another are lost at peak, the store goes down, a host is replaced and the region returns cold,
// all under load. No data centre may get more than its capacity, the others must use theirs, refusals that say "not run"
// must be true, and after the ramp the region must have its share and nobody may be refused. Meanwhile the shift must stay
// under its cap, a customer that sends twice its rate to all hosts must not get more, and targets that leave must get
// no new work.
func TestRegionLostAtPeak(t *testing.T) {
	w := &world{
		gauges: map[string]*gauge{},
	}
	w.fleet = prepareFleet(t)
	for _, d := range dataCentres {
		w.deploy(d)
	}
	w.writeServices()
	w.start()
	const settle, measured = 500 * time.Millisecond, time.Second
	stopConvoyes := w.stream("convoyes", "alfa", convoyRate, w.entry)
	stopShift := w.stream("reservas", "alfa", 120, w.entry)
	stopBeta := w.stream("reservas", "beta", 2*betaRate, w.anyHost)
	begun := time.Now()
	time.Sleep(settle + measured)

	hosts := w.running()
	lost := time.Now()
	w.loseRegion("altiplano", hosts[1])
	aborted := time.Now()
	w.leave("golfo-1", "a host of its data centre is killed", false)
	time.Sleep(suspectLimit)
	crowded := time.Now()
	time.Sleep(measured)
	uncrowded := time.Now()

	for _, n := range []int{12, 18, 20, 21, 22, 23} {
		w.add(n)
	}
	time.Sleep(settle)
	w.store.SetFaults(kvmem.Faults{
		Down: true,
	})
	up := time.AfterFunc(leaveLimit+settle, func() { w.store.SetFaults(kvmem.Faults{}) })
	defer up.Stop()
	w.leave("pacifico-1", "store down", true)
	w.leave("golfo-2", "store down", false)
	assert.NilError(t, hosts[6].Shutdown(t.Context()))
	w.within("hosts have quota", returnLimit, func() bool {
		return w.all(func(s steer.HostState) bool { return len(s.Slots) > 0 && !s.OutOfQuota })
	})
	t.Logf("all hosts had quota %v after the loss", time.Since(lost))
	time.Sleep(timeout) // Units of a slot that was taken over are usable after the timeout.
	w.replaceTargets("altiplano")
	time.Sleep(ramp)
	warm := time.Now()
	time.Sleep(drainLimit + measured)
	ended := time.Now()
	convoyes, shift, beta := stopConvoyes(), stopShift(), stopBeta()

	w.step("region load", func() {
		for d, g := range w.gauges {
			normal := g.most(begun, lost, lost, aborted)
			surge := g.most(lost, crowded, lost, aborted)
			crowd := g.most(crowded, uncrowded, lost, aborted)
			later := g.most(uncrowded, ended, lost, aborted)
			t.Logf("%s: at most %d requests at once before the loss, %d and %d after it, %d until the end", d, normal, surge,
				crowd, later)
			assert.Check(w, max(normal, surge, crowd, later) <= siteSlots, "too many requests at once in %s", d)
			if region(d) != "altiplano" && d != "golfo-1" {
				assert.Check(w, crowd == siteSlots, "%s has spare capacity while requests are refused", d)
			}
		}
		after := map[string]float64{}
		all := 0.0
		for _, r := range []string{"golfo", "pacifico", "altiplano"} {
			after[r] = w.perSecond(r, warm, ended)
			all += after[r]
			t.Logf("%s ran %.0f requests/s before, %.0f without altiplano, %.0f after the ramp", r,
				w.perSecond(r, begun.Add(settle), lost), w.perSecond(r, crowded, uncrowded), after[r])
		}
		// A third of the requests enters there. A busy machine sends fewer than asked for, so rates cannot be compared.
		share := after["altiplano"] / all
		assert.Check(w, share > 0.9/3, "altiplano runs %.2f of the requests", share)
	})
	w.step("answers", func() {
		for name, results := range map[string][]result{"convoyes": convoyes, "reservas": shift} {
			answered, notRun, unsure, ran := w.checkResults(results)
			t.Logf("%s: %d requests, %d answered, %d refused as not run, %d unsure, %d runs", name, len(results), answered,
				notRun, unsure, ran)
			for _, r := range results {
				at := r.sent.Sub(lost)
				short := name == "convoyes" && r.sent.Before(warm.Add(drainLimit))
				// An attempt of a GET that takes long is given up for another one, so its refusal may be unsure, as may be
				// that of a request whose deadline has passed.
				unsure := r.method == http.MethodGet || r.reason == "deadline"
				if r.status == http.StatusOK || short && (r.verdict == steer.NotRun || unsure) {
					continue
				}
				assert.Check(w, at < suspectLimit, "%s %s of %v after the loss: %d %s %s %v", r.method, r.path, at, r.status,
					r.verdict, r.reason, r.err)
			}
		}
	})
	w.step("shift cap", func() {
		moved := w.spans(shift, func(r result, s *stand) bool {
			return strings.HasPrefix(r.path, "/golfo/") && region(s.dataCentre) != "golfo"
		})
		worst := worstWindow(moved, shiftRate, shiftBurst)
		t.Logf("%d requests moved, worst window used %.2f of rate * W + burst", len(moved), worst)
		assert.Check(w, worst <= 1)
		assert.Check(w, float64(len(moved)) > shiftRate/4*ended.Sub(begun).Seconds(), "the shift moved only %d", len(moved))
	})
	w.step("customer rate", func() {
		ran := w.spans(beta, func(result, *stand) bool { return true })
		worst := worstWindow(ran, betaRate, betaBurst)
		t.Logf("%d of %d requests ran, worst window used %.2f of rate * W + burst", len(ran), len(beta), worst)
		assert.Check(w, worst <= 1)
		assert.Check(w, float64(len(ran)) > betaRate/2*ended.Sub(begun).Seconds(), "the customer got only %d", len(ran))
	})
	w.step("leaving targets", func() {
		for _, l := range w.left {
			assert.Assert(w, l.before > 0, "%s, %s: no load", l.id, l.during)
			runs := l.Record()
			late := runs[len(runs)-1].Started.Sub(l.at)
			t.Logf("%s, %s: last of %d new requests %v after it could be known", l.id, l.during, len(runs)-l.before, late)
			assert.Check(w, late <= leaveLimit, "%s, %s", l.id, l.during)
		}
	})
}

// spans returns when the requests were admitted that ran at a target and are selected.
func (w *world) spans(results []result, selected func(result, *stand) bool) []span {
	sent := map[string]result{}
	for _, r := range results {
		sent[r.path] = r
	}
	first := map[string]span{}
	for _, s := range w.started {
		for _, run := range s.Record() {
			r, ok := sent[strings.TrimPrefix(run.Path, "/s/reservas")]
			known, again := first[r.path]
			if ok && selected(r, s) && (!again || run.Started.Before(known.started)) {
				first[r.path] = span{
					sent:    r.sent,
					started: run.Started,
				}
			}
		}
	}
	return slices.Collect(maps.Values(first))
}
