package daemon_test

import (
	"context"
	"fmt"
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

// outage is longer than the lease of a slot (12 s), so that a host keeps its slots only by rule (b) of docs/design.md,
// section 6.
const outage = 14 * time.Second

// Bounds of docs/design.md, sections 1, 7 and 13.
const (
	inForceLimit      = time.Second
	faultInForceLimit = 3 * time.Second // While the store has faults.
	withdrawLimit     = 2 * time.Second
	leaveLimit        = 2 * time.Second
	suspectLimit      = 2500 * time.Millisecond // A host is suspected after 2 s and one heartbeat interval.
)

// A change must be in force at all 12 hosts within 1 s. A withdrawn key must be refused by all of them within 2 s, even on
// connections that were open before. A leaving target must get no new request later than 2 s after the announcement.
func TestPublishedChangesArriveInTime(t *testing.T) {
	f := newFleet(t)
	f.subtest("in force", func() {
		for i := range 5 {
			f.write("customers", customers+customer("alfa", 2000, 1000, false)+customer("beta", 101+i, 50, false))
			version := f.publish()
			took := f.waitFor("version in force", inForceLimit, func() bool {
				return f.allHosts(func(s steer.HostState) bool { return s.Version >= version })
			})
			f.Logf("version %d was in force at 12 hosts %v after acceptance", version, took)
		}
	})
	f.subtest("key withdrawn", f.checkKeyWithdrawal)
	f.subtest("target leaves", func() {
		for _, v := range []struct {
			id       string
			announce func()
		}{
			{
				id: "t0",
				announce: func() {
					f.write("reservas", strings.Replace(f.serviceFile, "- id: t0\n", "- id: t0\n    leaving: true\n", 1))
					f.publish()
				},
			},
			{
				id:       "t2",
				announce: func() { f.targets["t2"].SetMode(target.Drain) },
			},
		} {
			f.leaveUnderLoad(v.id, v.announce)
		}
	})
}

func (f *fleet) checkKeyWithdrawal() {
	f.client.Transport.(*http.Transport).IdleConnTimeout = 0 // Connections stay open.
	reused := 0
	answered := func(status int) func() bool {
		return func() bool {
			reused = 0
			for _, h := range f.running() {
				r := f.send(h.Address().String(), http.MethodGet, "/withdrawn", "beta", "")
				if r.status != status {
					return false
				}
				if r.reused {
					reused++
				}
			}
			return true
		}
	}
	f.waitFor("key accepted", 10*time.Second, answered(http.StatusOK))
	f.write("customers", customers+customer("alfa", 2000, 1000, false)+customer("beta", 100, 50, true))
	f.publish()
	took := f.waitFor("key refused", withdrawLimit, answered(http.StatusUnauthorized))
	assert.Equal(f, reused, 2*len(dataCentres), "hosts asked on connections that were open before the withdrawal")
	count := len(f.runs()["/withdrawn"])
	assert.Assert(f, answered(http.StatusUnauthorized)())
	assert.Equal(f, len(f.runs()["/withdrawn"]), count)
	f.Logf("the withdrawn key was refused at 12 hosts %v after acceptance", took)
}

// leaveUnderLoad calls announce, which announces that the target leaves, under load, and checks that the target gets no new
// request after leaveLimit.
func (f *fleet) leaveUnderLoad(id string, announce func()) {
	stop := f.load(12)
	time.Sleep(time.Second)
	before := len(f.targets[id].Record())
	assert.Assert(f, before > 0, "no load at %s", id)
	announce()
	announced := time.Now()
	time.Sleep(leaveLimit + time.Second)
	results, cuts := stop()
	assert.Equal(f, cuts, 0)
	f.checkResults(results)
	runs := f.targets[id].Record()
	late := runs[len(runs)-1].Started.Sub(announced)
	assert.Assert(f, late <= leaveLimit, "%s got a new request %v after the announcement", id, late)
	f.Logf("%s got its last of %d new requests %v after the announcement", id, len(runs)-before, late)
}

// While the store is down, keyed requests must succeed, hosts must keep their slots, and a starting host must get the
// configuration from its peers. Changes must come into force although the store loses responses, has silent watches or is
// slow. A store that is restored to an older copy must not make a host return to an older version.
func TestStoreFaults(t *testing.T) {
	t.Parallel()
	f := prepareFleet(t)
	f.network = newNetwork(f)
	f.start()
	slots := f.slotClaims()
	stopWatch := f.watchVersions()
	f.subtest("down", func() {
		stop := f.load(6)
		defer stop()
		f.store.SetFaults(kvmem.Faults{
			Down: true,
		})
		time.Sleep(4 * time.Second)
		newcomer := f.addHost(12)
		took := f.waitFor("newcomer follows", 4*time.Second, func() bool { return newcomer.Self().State.Version > 0 })
		time.Sleep(outage - 4*time.Second)
		results, cuts := stop()
		assert.DeepEqual(f, f.slotClaims(), slots)
		f.store.SetFaults(kvmem.Faults{})
		answered, notRun, uncertain, _ := f.checkResults(results)
		assert.DeepEqual(f, []int{notRun, uncertain, cuts}, []int{0, 0, 0})
		f.Logf("%v without the store: %d of %d requests answered, the newcomer followed after %v", outage, answered,
			len(results), took)
	})
	for _, v := range []struct {
		name   string
		faults kvmem.Faults
	}{
		{
			name: "answers lost",
			faults: kvmem.Faults{
				LoseProbability: 0.3,
			},
		},
		{
			name: "watch silent",
			faults: kvmem.Faults{
				SilentWatches: true,
			},
		},
		{
			name: "slow",
			faults: kvmem.Faults{
				Delay: 200 * time.Millisecond,
			},
		},
	} {
		f.subtest(v.name, func() {
			f.store.SetFaults(v.faults)
			for i := range 3 {
				f.write("customers", customers+customer("alfa", 2000, 1000, false)+customer("beta", 101+i, 50, false))
				version := f.publish()
				took := f.waitFor("version in force", faultInForceLimit, func() bool {
					return f.allHosts(func(s steer.HostState) bool { return s.Version >= version })
				})
				f.Logf("%s: version %d in force after %v", v.name, version, took)
			}
			f.store.SetFaults(kvmem.Faults{})
		})
	}
	f.subtest("restored", func() {
		old := f.store.Snapshot()
		f.write("customers", customers+customer("alfa", 2000, 1000, false)+customer("beta", 90, 50, true))
		version := f.publish()
		f.waitFor("version in force", inForceLimit, func() bool {
			return f.allHosts(func(s steer.HostState) bool { return s.Version >= version })
		})
		f.store.Restore(old)
		f.write("customers", customers+customer("alfa", 2000, 1000, false)+customer("beta", 91, 50, true))
		var next uint64
		took := f.waitFor("store repaired", 10*time.Second, func() bool {
			next = f.tryPublish()
			return next > version
		})
		f.waitFor("next version in force", inForceLimit, func() bool {
			return f.allHosts(func(s steer.HostState) bool { return s.Version >= next })
		})
		f.Logf("version %d was accepted %v after the store went back below %d", next, took, version)
	})
	f.subtest("restored, host without peers", f.restoreAtLoneHost)
	assert.Equal(f, stopWatch(), "")
}

// restoreAtLoneHost checks that a host that reads an older copy of the store keeps its version and repairs the store. The
// host is cut off from its peers, since otherwise it would take their newer version instead of the older copy, even without
// a check of its own.
func (f *fleet) restoreAtLoneHost() {
	defer f.network.partition(nil)
	lone := f.running()[0].Self().ID
	separated := func(a, b node) bool { return a.host == lone && !isStore(b) }
	f.network.partition(separated)
	time.Sleep(suspectLimit) // Until then, the host asks its peers and waits for their responses.
	old := f.store.Snapshot()
	f.write("customers", customers+customer("alfa", 2000, 1000, false)+customer("beta", 89, 50, true))
	version := f.publish()
	inForce := func() bool { return f.allHosts(func(s steer.HostState) bool { return s.Version >= version }) }
	f.waitFor("version in force", inForceLimit, inForce)
	// The other hosts must not repair the store first.
	f.network.partition(func(a, b node) bool { return separated(a, b) || a.host != lone && isStore(b) })
	f.store.Restore(old)
	took := f.waitFor("store repaired", 10*time.Second, func() bool { return f.tryPublish() >= version })
	f.Logf("the store was repaired by one host %v after it went back below version %d", took, version)
	f.network.partition(nil)
	f.waitFor("version in force", faultInForceLimit, inForce)
}

func (f *fleet) slotClaims() map[string][]steer.SlotClaim {
	slotClaims := map[string][]steer.SlotClaim{}
	for _, h := range f.running() {
		if s := h.Self(); len(s.State.Slots) > 0 {
			slotClaims[s.ID] = s.State.Slots
		}
	}
	return slotClaims
}

// watchVersions samples the versions of all hosts every 5 ms until stop is called. Stop describes the first decrease, or
// returns an empty string if there was none.
func (f *fleet) watchVersions() (stop func() string) {
	done := make(chan struct{})
	decrease := make(chan string)
	go func() {
		highest := map[*daemon.Host]uint64{}
		seen := ""
		for {
			for _, h := range f.running() {
				version := h.Self().State.Version
				if version < highest[h] && seen == "" {
					seen = fmt.Sprintf("%s went from version %d to %d", h.Self().ID, highest[h], version)
				}
				highest[h] = version
			}
			select {
			case <-done:
				decrease <- seen
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() string {
		close(done)
		return <-decrease
	}
}

// A customer that sends five times its rate to all hosts at once must get no more than rate * W + burst in any window W.
func TestCustomerRateOverAllHosts(t *testing.T) {
	const rate, burst, factor = 100, 50, 5
	f := newFleet(t)
	sent := f.sendAtRate(f.running(), "/rate", "beta", rate*factor, 6*time.Second)
	worst, ran := f.maxWindowUsage(sent, rate, burst)
	t.Logf("%d of %d requests ran, worst window used %.2f of rate * W + burst", ran, len(sent), worst)
	assert.Assert(t, worst <= 1, "a window held %.2f times rate * W + burst", worst)
	assert.Assert(t, ran > rate*5/2, "the customer got less than half of its rate: %d", ran)
}

// sendAtRate sends GET requests of a customer at a total rate per second, divided equally among the hosts, and returns the
// results.
func (f *fleet) sendAtRate(hosts []*daemon.Host, path, customer string, perSecond int, length time.Duration) []result {
	var (
		group   sync.WaitGroup
		mu      sync.Mutex
		results []result
	)
	ctx := f.ctx
	limit := time.Now().Add(length)
	for i, h := range hosts {
		group.Go(func() {
			tick := time.NewTicker(time.Duration(len(hosts)) * time.Second / time.Duration(perSecond))
			defer tick.Stop()
			for n := 0; time.Now().Before(limit) && ctx.Err() == nil; n++ {
				group.Go(func() {
					r := f.send(h.Address().String(), http.MethodGet, fmt.Sprintf("%s/%d/%d", path, i, n), customer, "")
					mu.Lock()
					defer mu.Unlock()
					results = append(results, r)
				})
				<-tick.C
			}
		})
	}
	group.Wait()
	return results
}

// maxWindowUsage returns the result of the function maxWindowUsage for the requests that ran, and their number.
func (f *fleet) maxWindowUsage(results []result, rate, burst float64) (worst float64, ran int) {
	var admissions []admission
	runsByPath := f.runs()
	for _, r := range results {
		if runs := runsByPath[r.path]; len(runs) > 0 {
			admissions = append(admissions, admission{
				sent:    r.sent,
				started: firstStart(runs),
			})
		}
	}
	return maxWindowUsage(admissions, rate, burst), len(admissions)
}

// admission is the time interval in which a request that ran was admitted: after it was sent and before it started at a
// target.
type admission struct{ sent, started time.Time }

func firstStart(runs []target.Run) time.Time {
	return slices.MinFunc(runs, func(a, b target.Run) int { return a.Started.Compare(b.Started) }).Started
}

// maxWindowUsage returns the maximum, over all windows W, of the fraction of rate * W + burst that was used in the window.
// It counts the requests that were both sent and started in the window, since these were certainly admitted in it.
func maxWindowUsage(admissions []admission, rate, burst float64) float64 {
	slices.SortFunc(admissions, func(a, b admission) int { return a.started.Compare(b.started) })
	worst := 0.0
	for _, from := range admissions {
		count := 0.0
		for _, x := range admissions {
			if !x.sent.Before(from.sent) {
				count++
				worst = max(worst, count/(burst+rate*x.started.Sub(from.sent).Seconds()))
			}
		}
	}
	return worst
}

// When all hosts of a data centre are replaced and shut down under load, one after the other, no connection may be cut and
// no request refused.
func TestRollingReplacementCutsNothing(t *testing.T) {
	f := newFleet(t)
	old := f.running()[:2]
	f.concentrateLoad()
	stop := f.load(16)
	time.Sleep(500 * time.Millisecond)
	for i, h := range old {
		f.addHost(2*len(dataCentres) + i)
		start := time.Now()
		assert.NilError(t, h.Shutdown(t.Context()))
		t.Logf("%s stopped in %v", h.Self().ID, time.Since(start))
	}
	time.Sleep(500 * time.Millisecond)
	results, cuts := stop()
	answered, notRun, uncertain, ran := f.checkResults(results)
	t.Logf("%d requests: %d answered, %d refused as not run, %d of unknown outcome, %d cut, %d runs", len(results),
		answered, notRun, uncertain, cuts, ran)
	assert.DeepEqual(t, []int{notRun, uncertain, cuts}, []int{0, 0, 0})
	// The HTTP client sends a GET again if its connection was cut. Only a second run shows that.
	assert.Equal(t, ran, len(results))
}

// concentrateLoad makes all callers try the hosts of the first data centre first and makes the targets slow, so that these
// hosts have many requests in progress at any time.
func (f *fleet) concentrateLoad() {
	f.preferredDataCentre = dataCentres[0]
	for _, x := range f.targets {
		x.SetMode(target.Slow)
	}
}

// When all hosts of a data centre crash under load, no request that was refused as not run may have run, and no POST may run
// twice, although callers resubmit requests with their tickets. The other hosts must continue to serve.
func TestDataCentreAborted(t *testing.T) {
	f := newFleet(t)
	f.concentrateLoad()
	stop := f.load(24)
	time.Sleep(time.Second)
	f.abort(f.running()[:2]...)
	aborted := time.Now()
	time.Sleep(4 * time.Second)
	results, cuts := stop()
	answered, notRun, uncertain, ran := f.checkResults(results)
	t.Logf("%d requests: %d answered, %d refused as not run, %d of unknown outcome, %d connections cut, %d runs", len(results),
		answered, notRun, uncertain, cuts, ran)
	assert.Assert(t, cuts > 0, "no request was in progress at the hosts that crashed")
	lastFailure := time.Duration(0)
	for _, r := range results {
		if r.status != http.StatusOK {
			lastFailure = max(lastFailure, r.sent.Sub(aborted))
		}
	}
	t.Logf("the last failed request was sent %v after the hosts crashed", lastFailure)
	assert.Assert(t, lastFailure <= suspectLimit, "a request sent %v after the hosts crashed failed", lastFailure)
}

// abort closes the hosts concurrently without a shutdown, as a crash does.
func (f *fleet) abort(hosts ...*daemon.Host) {
	var group sync.WaitGroup
	for _, h := range hosts {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(f.ctx, 5*time.Second)
			defer cancel()
			_ = h.Abort(ctx)
		})
	}
	group.Wait()
}
