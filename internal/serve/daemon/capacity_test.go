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
	// dataCentreSlots is the capacity of the service convoyes in a data centre: two targets of four slots each.
	dataCentreSlots   = 8
	convoyServiceTime = 200 * time.Millisecond
	dataCentreRate    = 40  // Requests/s that a data centre can serve.
	convoyRate        = 180 // Requests/s: 75 % of what six data centres serve, 112 % of what four do.
	convoyMaxWait     = 60 * time.Millisecond

	rampPeriod     = time.Second
	requestTimeout = 2 * time.Second // Longer than waiting convoyMaxWait in each data centre in turn.

	// drainLimit is the time that the spare capacity needs to serve the requests queued at the end of the ramp. They wait for
	// at most convoyMaxWait in each data centre.
	drainLimit = 6 * convoyMaxWait * convoyRate / (6*dataCentreRate - convoyRate)

	shiftRate, shiftBurst = 20, 20
	betaRate, betaBurst   = 100, 50 // As in the customers file of the fleet.

	// quotaReturnLimit is the lease of a slot, plus the wait before its takeover, plus the jitter and pause of the attempts.
	quotaReturnLimit = 12*time.Second + 2120*time.Millisecond + 1500*time.Millisecond
)

// testTarget is a target with its server and the request recorder of its data centre.
type testTarget struct {
	*target.Target
	id, service, dataCentre string
	server                  *http.Server
	recorder                *recorder
	leaving                 bool
}

// recorder records the requests at the targets of convoyes in one data centre, including those that wait there.
type recorder struct {
	mu       sync.Mutex
	requests []requestRecord
}

// requestRecord is the time of a request at a target. It ends with the last byte of the response, because the host may then
// send the next request.
type requestRecord struct {
	started, finished time.Time
	complete          bool // The whole response was sent.
}

// ServeHTTP implements http.Handler.
func (s *testTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.service != "convoyes" || strings.HasPrefix(r.URL.Path, "/target/") {
		s.Target.ServeHTTP(w, r)
		return
	}
	c := &countingWriter{
		ResponseWriter: w,
		bytesLeft:      64,
	}
	c.started = time.Now()
	defer func() {
		if !c.complete {
			c.finished = time.Now()
		}
		s.recorder.mu.Lock()
		defer s.recorder.mu.Unlock()
		s.recorder.requests = append(s.recorder.requests, c.requestRecord)
	}()
	s.Target.ServeHTTP(c, r)
}

// maxConcurrent returns the maximum number of concurrent requests between from and to. A request that the loss of its host
// interrupted counts until lostAt, since the target notices the loss later than the host that frees its capacity.
func (g *recorder) maxConcurrent(from, to, lostAt, abortedAt time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	highest := 0
	for _, x := range g.requests {
		count := 0
		for _, u := range g.requests {
			interrupted := !u.complete && u.started.Before(abortedAt) && x.started.After(lostAt)
			if !interrupted && !u.started.After(x.started) && u.finished.After(x.started) {
				count++
			}
		}
		if x.started.After(from) && x.started.Before(to) {
			highest = max(highest, count)
		}
	}
	return highest
}

// countingWriter records when the last byte of a response was written.
type countingWriter struct {
	http.ResponseWriter
	requestRecord
	bytesLeft int // Of the response.
}

func (c *countingWriter) Write(b []byte) (int, error) {
	if c.bytesLeft -= len(b); c.bytesLeft <= 0 {
		c.finished = time.Now()
		c.complete = true
	}
	return c.ResponseWriter.Write(b)
}

func (c *countingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// twoServiceFleet is a fleet with two services: convoyes, which runs near its capacity, and reservas, which has spare
// capacity. Both have a shift.
type twoServiceFleet struct {
	*fleet
	allTargets    []*testTarget        // Including those of lost regions.
	listedTargets []*testTarget        // In the steering files.
	recorders     map[string]*recorder // By data centre.
	departures    []departure
}

// startTargets starts two targets of each service in a data centre and adds them to the listed ones.
func (w *twoServiceFleet) startTargets(dataCentre string) {
	for _, c := range []target.Config{
		{
			ID:          "reservas",
			Slots:       16,
			ServiceTime: 5 * time.Millisecond,
		},
		{
			ID:          "convoyes",
			Slots:       dataCentreSlots / 2,
			ServiceTime: convoyServiceTime,
			ColdStart:   rampPeriod / 2,
		},
	} {
		service := c.ID
		if w.recorders[dataCentre] == nil {
			w.recorders[dataCentre] = &recorder{}
		}
		for range 2 {
			c.ID = fmt.Sprintf("t%d", len(w.targets))
			c.Seed = seed
			s := &testTarget{
				Target:     target.New(c),
				id:         c.ID,
				service:    service,
				dataCentre: dataCentre,
				recorder:   w.recorders[dataCentre],
			}
			s.server = w.listen(s)
			w.targets[s.id] = s.Target
			w.allTargets = append(w.allTargets, s)
			w.listedTargets = append(w.listedTargets, s)
		}
	}
}

func (w *twoServiceFleet) writeServices() {
	shift := func(name, from, to string, rate int) string {
		return fmt.Sprintf("shifts:\n  - {name: %s, from: %s, to: %s, part: 1, rate: %d, burst: %d}\n", name, from, to, rate,
			shiftBurst)
	}
	for service, text := range map[string]string{
		"reservas": shift("sur", "golfo", "pacifico", shiftRate),
		// The shift of convoyes ensures that forwarded requests are in progress in the region that is lost.
		"convoyes": fmt.Sprintf("queue-limit: %v\nramp: %v\n", convoyMaxWait, rampPeriod) +
			shift("alto", "pacifico", "altiplano", shiftRate/2),
	} {
		slots := dataCentreSlots / 2
		if service == "reservas" {
			slots = 16
		}
		text = fmt.Sprintf("kind: service\nname: %s\ntimeout: %v\n%sroutes:\n  - prefix: /\ntargets:\n", service,
			requestTimeout, text)
		for _, s := range w.listedTargets {
			if s.service == service {
				text += fmt.Sprintf("  - {id: %s, data-centre: %s, address: %s, slots: %d, leaving: %v}\n", s.id, s.dataCentre,
					s.server.Addr, slots, s.leaving)
			}
		}
		w.write(service, text)
	}
}

// entryHost returns the host that receives the n-th request of callers. Requests go to the data centres in turn. As in
// look-up responses, hosts without quota are left out, and requests for a lost data centre go to the hosts of the others.
func (w *twoServiceFleet) entryHost(n int) *daemon.Host {
	list := slices.DeleteFunc(w.running(), func(h *daemon.Host) bool { return h.Self().State.OutOfQuota })
	local := slices.DeleteFunc(slices.Clone(list), func(h *daemon.Host) bool {
		return h.Self().DataCentre != dataCentres[n%len(dataCentres)]
	})
	if len(local) > 0 {
		list = local
	}
	if len(list) == 0 {
		return w.hostInTurn(n)
	}
	return list[n/len(dataCentres)%len(list)]
}

// hostInTurn returns the n-th of the running hosts, counted in a circle. It returns nil if none runs.
func (w *twoServiceFleet) hostInTurn(n int) *daemon.Host {
	list := w.running()
	if len(list) == 0 {
		return nil
	}
	return list[n%len(list)]
}

// stream sends requests at a rate per second until stop is called, which returns their results. Every fifth request is a
// GET. The path starts with the region of the host that receives the request.
func (w *twoServiceFleet) stream(service, customer string, rate int, entry func(n int) *daemon.Host) (stop func() []result) {
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
					// All hosts are closed once the test has failed. Only its first failure is of interest.
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

// regionRate returns the rate per second at which the targets of convoyes in a region started requests.
func (w *twoServiceFleet) regionRate(name string, from, to time.Time) float64 {
	count := 0
	for _, s := range w.allTargets {
		if s.service != "convoyes" || region(s.dataCentre) != name {
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

// departure is the announcement that a target is leaving.
type departure struct {
	*testTarget
	during     string    // Circumstances, for failure messages.
	announced  time.Time // From when the hosts could know of it.
	runsBefore int       // Requests that it had run until then.
}

// announceLeaving announces that the first target of reservas in a data centre is leaving, either by the target's own
// signal or by the steering file.
func (w *twoServiceFleet) announceLeaving(dataCentre, during string, signal bool) {
	s := w.listedTargets[slices.IndexFunc(w.listedTargets, func(s *testTarget) bool {
		return s.service == "reservas" && s.dataCentre == dataCentre
	})]
	runsBefore := len(s.Record())
	if signal {
		s.SetMode(target.Drain)
	} else {
		s.leaving = true
		w.writeServices()
		w.publish()
	}
	w.departures = append(w.departures, departure{
		testTarget: s,
		during:     during,
		announced:  time.Now(),
		runsBefore: runsBefore,
	})
}

// loseRegion aborts all hosts of a region and one other host, and closes all targets of the region.
func (w *twoServiceFleet) loseRegion(name string, other *daemon.Host) {
	hosts := []*daemon.Host{other}
	for _, h := range w.running() {
		if h.Self().Region == name {
			hosts = append(hosts, h)
		}
	}
	for _, s := range w.listedTargets {
		if region(s.dataCentre) == name {
			_ = s.server.Close()
		}
	}
	w.abort(hosts...)
}

// replaceTargets starts new targets in place of those of a lost region and waits until the configuration that lists them is
// in force at all hosts.
func (w *twoServiceFleet) replaceTargets(name string) {
	w.listedTargets = slices.DeleteFunc(w.listedTargets, func(s *testTarget) bool { return region(s.dataCentre) == name })
	for _, d := range dataCentres {
		if region(d) == name {
			w.startTargets(d)
		}
	}
	w.writeServices()
	version := w.publish()
	w.waitFor("version in force", inForceLimit, func() bool {
		return w.allHosts(func(s steer.HostState) bool { return s.Version >= version })
	})
}

// Under peak load, a region and one host of another region are lost, the store goes down, a host is replaced and the region
// returns with cold targets. No data centre may get more requests than its capacity, the remaining ones must use all of
// theirs, and no request that was refused as not run may have run. After the ramp, the region must serve its share again
// and no request may be refused. Throughout, the shift must stay under its cap, a customer that sends twice its rate to all
// hosts must not get more than its rate, and leaving targets must get no new requests.
func TestRegionLostAtPeak(t *testing.T) {
	w := &twoServiceFleet{
		recorders: map[string]*recorder{},
	}
	w.fleet = prepareFleet(t)
	for _, d := range dataCentres {
		w.startTargets(d)
	}
	w.writeServices()
	w.start()
	const settle, measured = 500 * time.Millisecond, time.Second
	stopConvoyes := w.stream("convoyes", "alfa", convoyRate, w.entryHost)
	stopShift := w.stream("reservas", "alfa", 120, w.entryHost)
	stopBeta := w.stream("reservas", "beta", 2*betaRate, w.hostInTurn)
	loadStart := time.Now()
	time.Sleep(settle + measured)

	hosts := w.running()
	lostAt := time.Now()
	w.loseRegion("altiplano", hosts[1])
	abortedAt := time.Now()
	w.announceLeaving("golfo-1", "a host of its data centre is killed", false)
	time.Sleep(suspectLimit)
	overloadStart := time.Now()
	time.Sleep(measured)
	overloadEnd := time.Now()

	for _, n := range []int{12, 18, 20, 21, 22, 23} {
		w.addHost(n)
	}
	time.Sleep(settle)
	w.store.SetFaults(kvmem.Faults{
		Down: true,
	})
	up := time.AfterFunc(leaveLimit+settle, func() { w.store.SetFaults(kvmem.Faults{}) })
	defer up.Stop()
	w.announceLeaving("pacifico-1", "store down", true)
	w.announceLeaving("golfo-2", "store down", false)
	assert.NilError(t, hosts[6].Shutdown(t.Context()))
	w.waitFor("hosts have quota", quotaReturnLimit, func() bool {
		return w.allHosts(func(s steer.HostState) bool { return len(s.Slots) > 0 && !s.OutOfQuota })
	})
	t.Logf("all hosts had quota %v after the loss", time.Since(lostAt))
	time.Sleep(requestTimeout) // Units of a slot that was taken over become usable after the timeout.
	w.replaceTargets("altiplano")
	time.Sleep(rampPeriod)
	rampEnd := time.Now()
	time.Sleep(drainLimit + measured)
	loadEnd := time.Now()
	convoyes, shift, beta := stopConvoyes(), stopShift(), stopBeta()

	w.subtest("region load", func() {
		for d, g := range w.recorders {
			maxBefore := g.maxConcurrent(loadStart, lostAt, lostAt, abortedAt)
			maxAtLoss := g.maxConcurrent(lostAt, overloadStart, lostAt, abortedAt)
			maxOverloaded := g.maxConcurrent(overloadStart, overloadEnd, lostAt, abortedAt)
			maxAfter := g.maxConcurrent(overloadEnd, loadEnd, lostAt, abortedAt)
			t.Logf("%s: at most %d concurrent requests before the loss, %d and %d after it, %d until the end", d, maxBefore,
				maxAtLoss, maxOverloaded, maxAfter)
			assert.Check(w, max(maxBefore, maxAtLoss, maxOverloaded, maxAfter) <= dataCentreSlots,
				"too many concurrent requests in %s", d)
			if region(d) != "altiplano" && d != "golfo-1" {
				assert.Check(w, maxOverloaded == dataCentreSlots, "%s has spare capacity while requests are refused", d)
			}
		}
		after := map[string]float64{}
		all := 0.0
		for _, r := range []string{"golfo", "pacifico", "altiplano"} {
			after[r] = w.regionRate(r, rampEnd, loadEnd)
			all += after[r]
			t.Logf("%s ran %.0f requests/s before, %.0f without altiplano, %.0f after the ramp", r,
				w.regionRate(r, loadStart.Add(settle), lostAt), w.regionRate(r, overloadStart, overloadEnd), after[r])
		}
		// A third of the requests enters in this region. A busy machine sends fewer requests than intended, so compare
		// shares instead of rates.
		share := after["altiplano"] / all
		assert.Check(w, share > 0.9/3, "altiplano runs %.2f of the requests", share)
	})
	w.subtest("answers", func() {
		for name, results := range map[string][]result{"convoyes": convoyes, "reservas": shift} {
			answered, notRun, uncertain, ran := w.checkResults(results)
			t.Logf("%s: %d requests, %d answered, %d refused as not run, %d of unknown outcome, %d runs", name, len(results),
				answered, notRun, uncertain, ran)
			for _, r := range results {
				sinceLoss := r.sent.Sub(lostAt)
				shortOfCapacity := name == "convoyes" && r.sent.Before(rampEnd.Add(drainLimit))
				// The refusal of a GET need not say whether it ran, since a slow attempt is abandoned for another one.
				// Neither need that of a request whose deadline has passed.
				mayHaveRun := r.method == http.MethodGet || r.reason == "deadline"
				if r.status == http.StatusOK || shortOfCapacity && (r.verdict == steer.NotRun || mayHaveRun) {
					continue
				}
				assert.Check(w, sinceLoss < suspectLimit, "%s %s of %v after the loss: %d %s %s %v", r.method, r.path, sinceLoss,
					r.status, r.verdict, r.reason, r.err)
			}
		}
	})
	w.subtest("shift cap", func() {
		shifted := w.admissions(shift, func(r result, s *testTarget) bool {
			return strings.HasPrefix(r.path, "/golfo/") && region(s.dataCentre) != "golfo"
		})
		worst := maxWindowUsage(shifted, shiftRate, shiftBurst)
		t.Logf("%d requests shifted, worst window used %.2f of rate * W + burst", len(shifted), worst)
		assert.Check(w, worst <= 1)
		assert.Check(w, float64(len(shifted)) > shiftRate/4*loadEnd.Sub(loadStart).Seconds(), "the shift forwarded only %d",
			len(shifted))
	})
	w.subtest("customer rate", func() {
		ran := w.admissions(beta, func(result, *testTarget) bool { return true })
		worst := maxWindowUsage(ran, betaRate, betaBurst)
		t.Logf("%d of %d requests ran, worst window used %.2f of rate * W + burst", len(ran), len(beta), worst)
		assert.Check(w, worst <= 1)
		assert.Check(w, float64(len(ran)) > betaRate/2*loadEnd.Sub(loadStart).Seconds(), "the customer got only %d", len(ran))
	})
	w.subtest("leaving targets", func() {
		for _, l := range w.departures {
			assert.Assert(w, l.runsBefore > 0, "%s, %s: no load", l.id, l.during)
			runs := l.Record()
			late := runs[len(runs)-1].Started.Sub(l.announced)
			t.Logf("%s, %s: last of %d new requests %v after the announcement", l.id, l.during, len(runs)-l.runsBefore, late)
			assert.Check(w, late <= leaveLimit, "%s, %s", l.id, l.during)
		}
	})
}

// admissions returns the admissions of the selected requests that ran at a target of reservas. A request that ran more than
// once counts with its first run.
func (w *twoServiceFleet) admissions(results []result, selected func(result, *testTarget) bool) []admission {
	sent := map[string]result{}
	for _, r := range results {
		sent[r.path] = r
	}
	first := map[string]admission{}
	for _, s := range w.allTargets {
		for _, run := range s.Record() {
			r, ok := sent[strings.TrimPrefix(run.Path, "/s/reservas")]
			known, again := first[r.path]
			if ok && selected(r, s) && (!again || run.Started.Before(known.started)) {
				first[r.path] = admission{
					sent:    r.sent,
					started: run.Started,
				}
			}
		}
	}
	return slices.Collect(maps.Values(first))
}
