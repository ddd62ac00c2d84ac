package main_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	slowServiceTime = "300ms" // Long enough for a fault to find requests in progress at the targets.

	// settleTime exceeds the timeout of the service, which is 2 s. Until that has passed, the first request that another host
	// forwarded to a frozen host may still run although its caller already has an answer.
	settleTime = 2500 * time.Millisecond
)

// system runs the whole system as separate processes: a store, three targets, and two hosts in two data centres of one
// region.
type system struct {
	*testing.T
	bin     string
	hosts   []*process
	targets []string // Addresses of the target processes.
	client  *http.Client
}

// newSystem starts all processes and waits until both hosts serve. Targets have the given service time; two of the three
// are in the data centre of the first host.
func newSystem(t *testing.T, bin, serviceTime string) *system {
	t.Helper()
	s := &system{
		T:   t,
		bin: bin,
		client: &http.Client{
			Timeout: 10 * time.Second,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
				IdleConnTimeout:     500 * time.Millisecond, // Half of the hosts' look-up TTL.
			},
		},
	}
	for range 3 {
		target := startProcess(t, bin+"/mhtarget", "--listen", "127.0.0.1:0", "--service-time", serviceTime)
		s.targets = append(s.targets, target.addresses["address"])
	}
	store := startProcess(t, bin+"/mhstore", "--listen", "127.0.0.1:0").addresses["address"]
	steering := steeringFiles(t, s.targets...)
	run(t, bin, 0, "accepted: version 1", "publish", steering, "--store", store)
	peer := ""
	for i := range 2 {
		s.hosts = append(s.hosts, startProcess(t, bin+"/monsoonhub", "host", "--settings", settingsFile(t, i+1, store, peer)))
		peer = s.hosts[0].addresses["peer-listen"]
	}
	for i := range s.hosts {
		eventually(t, "both hosts in the look-up answer and serving", func() bool {
			found := s.lookup(i)
			return len(found.Hosts) == 2 && s.send(i, "GET", "/slots/ready", "").status == http.StatusOK
		})
	}
	return s
}

// outcome is the answer to one request. Its status is 0 if there was no answer.
type outcome struct {
	status   int
	verdict  string
	err      error
	duration time.Duration
}

// lookup sends a look-up to a host and returns its answer, which is empty on an error. The ticket belongs to the first
// host of the answer.
func (s *system) lookup(host int) lookupAnswer {
	var found lookupAnswer
	response, err := s.client.Get("http://" + s.hosts[host].addresses["listen"] + "/v1/lookup?service=reservas&ticket=true")
	if err != nil {
		return found
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&found)
	return found
}

func (s *system) send(host int, method, path, ticket string) (out outcome) {
	begin := time.Now()
	defer func() { out.duration = time.Since(begin) }()
	request, err := http.NewRequest(method, "http://"+s.hosts[host].addresses["listen"]+"/s/reservas"+path, nil)
	if err != nil {
		out.err = err
		return out
	}
	request.Header.Set("Steering-Key", customerKey)
	if ticket != "" {
		request.Header.Set("Steering-Ticket", ticket)
	}
	response, err := s.client.Do(request)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = response.Body.Close() }()
	_, out.err = io.Copy(io.Discard, response.Body)
	out.status = response.StatusCode
	out.verdict = response.Header.Get("Steering-Verdict")
	return out
}

// runCounts returns the number of runs at all targets by path.
func (s *system) runCounts() map[string]int {
	s.Helper()
	counts := map[string]int{}
	for _, address := range s.targets {
		for _, r := range s.targetRuns(address) {
			counts[r.Path]++
		}
	}
	return counts
}

type runRecord struct {
	Path     string `json:"path"`
	Finished bool   `json:"finished"`
}

// targetRuns returns the runs that a target recorded.
func (s *system) targetRuns(target string) (list []runRecord) {
	s.Helper()
	assert.Equal(s, getJSON(s.T, "http://"+target+"/target/runs", &list), http.StatusOK)
	return list
}

// booking is one request with a ticket of the first host, sent up to three times.
type booking struct {
	path   string
	ticket string
	first  outcome
	second outcome // From the other host, during the fault of the first host.
	last   outcome // After settleTime, when nothing is in progress.
}

// bookDuringFault sends bookings to the first host and calls injectFault when some are in progress and others wait. It then
// resubmits all of them to the second host, calls recoverHost, and submits them once more to finalHost.
func (s *system) bookDuringFault(count, finalHost int, injectFault, recoverHost func()) []booking {
	list := make([]booking, count)
	for i := range list {
		found := s.lookup(0)
		assert.Assert(s, len(found.Hosts) > 0 && found.Hosts[0].ID == "host-1", "%+v", found)
		list[i].path = fmt.Sprintf("/slots/%d", i)
		list[i].ticket = found.Ticket
	}
	var group sync.WaitGroup
	for i := range list {
		group.Go(func() { list[i].first = s.send(0, "POST", list[i].path, list[i].ticket) })
	}
	eventually(s.T, "bookings in progress", func() bool { return len(s.runCounts()) > 4 })
	injectFault()
	for i := range list {
		group.Go(func() { list[i].second = s.send(1, "POST", list[i].path, list[i].ticket) })
	}
	recoverHost()
	group.Wait()
	time.Sleep(settleTime)
	for i := range list {
		list[i].last = s.send(finalHost, "POST", list[i].path, list[i].ticket)
	}
	return list
}

// checkBookings compares the answers with the runs at the targets. The last submission was sent when nothing was in
// progress, so its verdict must hold for all submissions of the booking.
func (s *system) checkBookings(list []booking) {
	s.Helper()
	runCounts := s.runCounts()
	counts := map[string]int{}
	for _, b := range list {
		count := runCounts[b.path]
		assert.Assert(s, count <= 1, "%s ran %d times: %+v", b.path, count, b)
		if b.last.verdict == "not-run" || (b.first.verdict == "not-run" && b.second.verdict == "not-run") {
			assert.Assert(s, b.last.status == http.StatusOK || count == 0, "%s ran: %+v", b.path, b)
		}
		for _, o := range []outcome{b.first, b.second, b.last} {
			assert.Assert(s, o.status != http.StatusOK || count == 1, "%s was answered with 200 but did not run: %+v", b.path, b)
		}
		counts["ran"] += count
		counts["first "+b.first.verdict]++
		counts["second "+b.second.verdict]++
		counts["last "+b.last.verdict]++
	}
	s.Logf("%d bookings: %v", len(list), counts)
	assert.Assert(s, counts["ran"] > 0)
}

// When a host process is killed or frozen, no booking may run twice and no verdict may be false. A planned stop must not cut
// off requests. In-process tests cannot show this, since a killed or frozen process keeps none of the guarantees it gave.
func TestProcessFaults(t *testing.T) {
	bin := buildPrograms(t)
	t.Run("host killed", func(t *testing.T) {
		s := newSystem(t, bin, slowServiceTime)
		s.checkBookings(s.bookDuringFault(40, 1, func() { assert.NilError(t, s.hosts[0].Process.Kill()) }, func() {}))
	})
	t.Run("host frozen for 3 s", func(t *testing.T) {
		s := newSystem(t, bin, slowServiceTime)
		s.checkBookings(s.bookDuringFault(40, 0, func() { s.signal(0, syscall.SIGSTOP) }, func() {
			time.Sleep(3 * time.Second)
			s.signal(0, syscall.SIGCONT)
		}))
	})
	t.Run("host frozen for 3 s before it reads", func(t *testing.T) { newSystem(t, bin, slowServiceTime).checkDelayedRead() })
	t.Run("SIGTERM under load", func(t *testing.T) { newSystem(t, bin, "20ms").checkGracefulStop(syscall.SIGTERM) })
	t.Run("SIGHUP around SIGTERM under load", func(t *testing.T) {
		newSystem(t, bin, "20ms").checkGracefulStop(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP)
	})
	t.Run("target never answers", func(t *testing.T) {
		newSystem(t, bin, "20ms").checkHangingTarget()
	})
}

// checkDelayedRead lets the second host forward bookings to the frozen first host until their callers have got the verdict
// may-have-run. The frozen host must not run them when it reads them later.
func (s *system) checkDelayedRead() {
	// A host learns the clock offset of the other host from its first forward.
	assert.Equal(s, s.send(1, "POST", "/slots/first", s.lookup(0).Ticket).status, http.StatusOK)
	tickets := make([]string, 8)
	for i := range tickets {
		tickets[i] = s.lookup(0).Ticket
	}
	s.signal(0, syscall.SIGSTOP)
	var group sync.WaitGroup
	for i, ticket := range tickets {
		group.Go(func() {
			out := s.send(1, "POST", fmt.Sprintf("/slots/late/%d", i), ticket)
			assert.Check(s, out.verdict == "may-have-run", "%+v", out)
		})
	}
	time.Sleep(3 * time.Second)
	s.signal(0, syscall.SIGCONT)
	group.Wait()
	time.Sleep(settleTime)
	for path := range s.runCounts() {
		assert.Check(s, !strings.HasPrefix(path, "/slots/late/"), "%s ran after its deadline", path)
	}
}

// signal sends a signal to a host. After SIGSTOP it waits until the host has stopped, since the host keeps running for some
// milliseconds.
func (s *system) signal(host int, signal syscall.Signal) {
	s.Helper()
	process := s.hosts[host].Process
	assert.NilError(s, process.Signal(signal))
	if signal != syscall.SIGSTOP {
		return
	}
	var status syscall.WaitStatus
	_, err := syscall.Wait4(process.Pid, &status, syscall.WUNTRACED, nil)
	assert.NilError(s, err)
	assert.Assert(s, status.Stopped(), "%v", status)
}

// sendViaLookup sends a look-up to the first host, or to the second if that fails. It then sends the request to the
// hosts of the answer in turn until one does not refuse it with the verdict not-run.
func (s *system) sendViaLookup(method, path string) (out outcome) {
	found := s.lookup(0)
	if len(found.Hosts) == 0 {
		found = s.lookup(1)
	}
	for _, h := range found.Hosts {
		host := 0
		if h.ID == "host-2" {
			host = 1
		}
		out = s.send(host, method, path, found.Ticket)
		if out.err != nil || out.verdict != "not-run" {
			return out
		}
	}
	return out
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// sendLoad sends requests until during returns: to the hosts of look-up answers if viaLookup is set, else to the first host.
func (s *system) sendLoad(viaLookup bool, during func()) map[string]outcome {
	var (
		group sync.WaitGroup
		mu    sync.Mutex
	)
	results := map[string]outcome{} // By path; the path starts with the method.
	ended := make(chan struct{})
	for w := range 8 {
		group.Go(func() {
			for n := 0; !isClosed(ended); n++ {
				method := []string{"POST", "GET"}[n%2]
				path := fmt.Sprintf("/slots/%s/%d/%d", method, w, n)
				var out outcome
				if viaLookup {
					out = s.sendViaLookup(method, path)
				} else {
					out = s.send(0, method, path, "")
				}
				mu.Lock()
				results[path] = out
				mu.Unlock()
			}
		})
	}
	during()
	close(ended)
	group.Wait()
	return results
}

// checkGracefulStop stops the first host with signals under load. It must exit without an error, and all requests must
// succeed.
func (s *system) checkGracefulStop(signals ...syscall.Signal) {
	var err error
	results := s.sendLoad(true, func() {
		for _, one := range signals {
			time.Sleep(time.Second / time.Duration(len(signals)))
			s.signal(0, one)
		}
		err = s.hosts[0].Wait()
		time.Sleep(500 * time.Millisecond)
	})
	assert.NilError(s, err)
	answered, _ := s.checkLoad(results)
	assert.Equal(s, answered, len(results))
}

// checkHangingTarget makes one of the two targets of the first host accept requests and never answer them, while its health
// check reports that it is ready. At least nine in ten requests must succeed, and each must be answered within 3 s.
func (s *system) checkHangingTarget() {
	bad := s.targets[len(s.targets)-1]
	results := s.sendLoad(false, func() {
		time.Sleep(time.Second)
		response, err := s.client.Post("http://"+bad+"/target/control", "application/json",
			strings.NewReader(`{"mode":"hang"}`))
		assert.NilError(s, err)
		_ = response.Body.Close()
		time.Sleep(5 * time.Second)
	})
	answered, maxDuration := s.checkLoad(results)
	hung := slices.ContainsFunc(s.targetRuns(bad), func(r runRecord) bool { return !r.Finished })
	assert.Assert(s, hung, "no request reached the target that hangs")
	assert.Assert(s, maxDuration < 3*time.Second, "an answer took %v with a timeout of 2 s", maxDuration)
	assert.Assert(s, answered >= len(results)*9/10, "%d of %d answered", answered, len(results))
}

// checkLoad compares the answers with the runs at the targets. It returns the number of requests that succeeded and the
// longest duration of a request.
func (s *system) checkLoad(results map[string]outcome) (answered int, maxDuration time.Duration) {
	s.Helper()
	runCounts := s.runCounts()
	for path, out := range results {
		maxDuration = max(maxDuration, out.duration)
		count := runCounts[path]
		assert.Assert(s, count <= 1 || strings.Contains(path, "GET"), "%s ran %d times", path, count)
		assert.Assert(s, out.verdict != "not-run" || count == 0, "%s ran and was refused as not run", path)
		if out.status == http.StatusOK {
			answered++
			continue
		}
		s.Logf("%s: %+v, runs %d", path, out, count)
		assert.Assert(s, strings.Contains(path, "POST"), "an idempotent request was not retried")
	}
	s.Logf("%d of %d requests succeeded, the longest took %v", answered, len(results), maxDuration)
	return answered, maxDuration
}
