package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

const hostName = "ficu95.example"

func route(kind, prefix, service string, timeout, aim float64) map[string]any {
	return map[string]any{
		"host": hostName, "prefix": prefix, "service": service, "kind": kind, "timeout-s": timeout, "target-latency-s": aim,
		"max-attempts": 2, "priority": 1, "skip-auth": true,
	}
}

func config(version string, routes map[string]any, services ...string) map[string]any {
	list := map[string]any{}
	for _, name := range services {
		list[name] = map[string]any{"health-path": "/health", "max-connections": 330, "warmup-s": 3, "warmup-per-s": 15}
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list, "tenants": map[string]any{},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-s": 5, "idle-timeout-s": 15},
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func head(method, path, id string, deadline time.Duration, more ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nX-Monsoonhub-Request-Id: " + id +
		fmt.Sprintf("\r\nX-Monsoonhub-Deadline-Ms: %d\r\n", deadline.Milliseconds()) + strings.Join(more, "") + "\r\n"
}

// pattern returns the bytes that an instance answers: lines of text that name the request, so that each place differs.
func pattern(id string, size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s line %06d of the answer\n", id, i)
	}
	return b.Bytes()[:size]
}

// readAnswer reads one answer that is no informational one, and calls begun when its first bytes are there.
func readAnswer(reader *bufio.Reader, begun func()) (*http.Response, []byte, int, error) {
	informational := 0
	for {
		if _, err := reader.Peek(1); err != nil {
			return nil, nil, informational, err
		}
		begun()
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, nil, informational, err
		}
		if response.StatusCode == http.StatusContinue {
			informational++
			continue
		}
		body, err := io.ReadAll(response.Body)
		return response, body, informational, err
	}
}

// runContinue: a caller sends a further safe request with a body on the connection on which a large answer has begun, and asks whether
// the body is wanted. Without trouble it sends that request when it has the whole answer.
func runContinue(f *fleet, trouble bool) (bool, string) {
	const (
		size    = 540000 // Of the largest answer of guide-download.
		callers = 4
		length  = 60 * time.Second
		most    = 20 // Broken answers after which it ends.
	)
	all := &runs{}
	answer := func(r *http.Request) []byte {
		if strings.HasPrefix(r.URL.Path, "/guide/") {
			return pattern(r.Header.Get("X-Monsoonhub-Request-Id"), size)
		}
		return pattern(r.Header.Get("X-Monsoonhub-Request-Id"), 400)
	}
	f.store.put("op/config", config("00000001", map[string]any{
		"guide":  route("download", "/guide/", "docs", 3, 0.4),
		"lookup": route("safe", "/lookup/", "docs", 3, 0.4),
	}, "docs"))
	for i, zone := range []string{"golfo-a", "golfo-b"} {
		f.addInstance(fmt.Sprintf("i-%d", i), "docs", zone, 9, 2*time.Millisecond, all, answer)
	}
	h := f.addHost("front-golfo-a-1", "golfo-a")
	f.start(h)
	f.awaitReady()
	var mu sync.Mutex
	broken, sent := 0, 0
	example := ""
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(end) {
				mu.Lock()
				enough := broken >= most
				mu.Unlock()
				if enough {
					return
				}
				first, second := newID(), newID()
				socket, err := net.Dial("tcp", h.front)
				must(err)
				_ = socket.SetDeadline(time.Now().Add(4 * time.Second))
				_, err = io.WriteString(socket, head("GET", "/guide/1", first, 3*time.Second))
				must(err)
				reader := bufio.NewReaderSize(socket, 64<<10)
				further := func() {
					_, _ = io.WriteString(socket, head("POST", "/lookup/1", second, 3*time.Second, "Content-Length: 5\r\n", "Expect: 100-continue\r\n"))
				}
				begun := sync.OnceFunc(func() {
					if trouble {
						further()
					}
				})
				response, body, _, err := readAnswer(reader, begun)
				mu.Lock()
				sent++
				mu.Unlock()
				if err != nil {
					f.record.add("answer to %s GET /guide/1: %v", first, err)
					_ = socket.Close()
					continue
				}
				want := pattern(first, size)
				if response.StatusCode == http.StatusOK && !bytes.Equal(body, want) {
					at := 0
					for at < len(body) && at < len(want) && body[at] == want[at] {
						at++
					}
					mu.Lock()
					broken++
					example = fmt.Sprintf("from byte %d: %q", at, body[at:min(at+60, len(body))])
					mu.Unlock()
					f.record.add("answer to %s GET /guide/1: status %d, id %s, signature %q, %d bytes, which differ from the instance's from byte %d: %q",
						first, response.StatusCode, response.Header.Get("X-Monsoonhub-Request-Id"),
						response.Header.Get("X-Monsoonhub-Server-Signature"), len(body), at, body[at:min(at+80, len(body))])
					_ = socket.Close()
					continue
				}
				if !trouble {
					further()
				}
				_, _ = io.WriteString(socket, "hello")
				response, _, informational, err := readAnswer(reader, func() {})
				if err != nil {
					f.record.add("answers to %s as sent; answer to %s POST /lookup/1: %v", first, second, err)
				} else {
					f.record.add("answers to %s as sent; answer to %s POST /lookup/1: status %d after %d informational", first, second, response.StatusCode, informational)
				}
				_ = socket.Close()
			}
		}()
	}
	wait.Wait()
	for _, r := range all.all() {
		f.record.add("run %s at %s: %s", r.id, r.instance, r.line)
	}
	return broken > 0, fmt.Sprintf("%d of %d answers with status 200, the instance's signature and the whole length had another body than the instance sent; %s", broken, sent, example)
}

// runLeft: some callers that send many safe requests ahead leave before the answers.
func runLeft(f *fleet, trouble bool) (bool, string) {
	const (
		ahead   = 24                      // Requests that a caller sends before the first answer.
		work    = 1440 * time.Millisecond // Of ice-report.
		leaves  = 500 * time.Millisecond  // Half the aim of ice-report.
		callers = 5                       // One of them leaves: a share of 0.2.
		rounds  = 5
	)
	all := &runs{}
	f.store.put("op/config", config("00000001", map[string]any{
		"ice-report": route("safe", "/ice/", "convoyes", 2.5, 1),
	}, "convoyes"))
	zones := []string{"golfo-a", "golfo-b", "pacifico-a", "pacifico-b", "altiplano-a", "altiplano-b"}
	for i := range 24 {
		f.addInstance(fmt.Sprintf("i-%02d", i), "convoyes", zones[i%len(zones)], 8, work, all, func(r *http.Request) []byte {
			return pattern(r.Header.Get("X-Monsoonhub-Request-Id"), 400)
		})
	}
	h := f.addHost("front-golfo-a-1", "golfo-a")
	f.start(h)
	f.awaitReady()
	leftAt := map[string]time.Time{}
	var mu sync.Mutex
	answered := 0
	for range rounds {
		var wait sync.WaitGroup
		for caller := range callers {
			wait.Add(1)
			go func() {
				defer wait.Done()
				socket, err := net.Dial("tcp", h.front)
				must(err)
				defer func() { _ = socket.Close() }()
				_ = socket.SetDeadline(time.Now().Add(9 * time.Second))
				var text strings.Builder
				var ids []string
				for i := range ahead {
					id := newID()
					ids = append(ids, id)
					text.WriteString(head("GET", fmt.Sprintf("/ice/%d-%d", caller, i), id, 8*time.Second))
				}
				_, err = io.WriteString(socket, text.String())
				must(err)
				f.record.add("caller %d sent %d requests: %s", caller, ahead, strings.Join(ids, " "))
				if trouble && caller == 0 {
					time.Sleep(leaves)
					_ = socket.Close()
					now := time.Now()
					mu.Lock()
					for _, id := range ids {
						leftAt[id] = now
					}
					mu.Unlock()
					f.record.add("caller %d closed its connection", caller)
					return
				}
				reader := bufio.NewReader(socket)
				for range ids {
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						f.record.add("caller %d: %v", caller, err)
						return
					}
					_, _ = io.Copy(io.Discard, response.Body)
					f.record.add("caller %d got %d for %s", caller, response.StatusCode, response.Header.Get("X-Monsoonhub-Request-Id"))
					mu.Lock()
					answered++
					mu.Unlock()
				}
			}()
		}
		wait.Wait()
		time.Sleep(time.Second)
	}
	list := all.all()
	sort.Slice(list, func(i, j int) bool { return list[i].started.Before(list[j].started) })
	late, lasting, atWork := 0, 0, 0
	for _, r := range list {
		left, ok := leftAt[r.id]
		f.record.add("run %s at %s: began at %.3f s, ended at %.3f s, dropped %t, its caller left: %t", r.id, r.instance,
			r.started.Sub(f.record.started).Seconds(), r.ended.Sub(f.record.started).Seconds(), r.cancelled, ok)
		if !ok {
			continue
		}
		limit := left.Add(500 * time.Millisecond)
		switch {
		case r.started.After(limit):
			late++
		case r.started.Add(work).After(limit):
			lasting++
			if r.ended.IsZero() || r.ended.After(limit) {
				atWork++
			}
		}
	}
	why := fmt.Sprintf("%d requests reached an instance over 0.5 s after their caller had left; at %d of %d that would have lasted so long, instances were still at work 0.5 s after it; %d answers to the callers that stayed", late, atWork, lasting, answered)
	return late > 3 || 4*atWork > lasting, why
}

// lookUp asks a directory for the hosts of a zone.
func lookUp(address, zone string) ([]string, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + "/resolve?name=" + hostName + "&region=" + zoneRegions[zone] + "&zone=" + zone)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, err
	}
	return answer.Addresses, nil
}

// runNamed: a machine is removed without notice, and the store is down for a while from the same moment on.
func runNamed(f *fleet, trouble bool) (bool, string) {
	const (
		contact = 3 * time.Second         // contact-s
		outage  = 4500 * time.Millisecond // Largest platform_down of the site.
		rounds  = 4
		pause   = 50 * time.Millisecond // Between look-ups of all callers together.
	)
	all := &runs{}
	f.store.put("op/config", config("00000001", map[string]any{"slot-query": route("safe", "/slot/", "reservas", 1, 0.3)}, "reservas"))
	f.addInstance("i-0", "reservas", "golfo-a", 9, 50*time.Millisecond, all, func(*http.Request) []byte { return []byte("ok") })
	first := f.addHost("front-golfo-a-1", "golfo-a")
	f.start(first)
	f.awaitReady()
	named := 0
	for round := range rounds {
		second := f.addHost(fmt.Sprintf("front-golfo-a-%d", round+2), "golfo-a")
		f.start(second)
		f.awaitReady()
		time.Sleep(3 * time.Second)
		f.store.awaitRenewal("monsoonhub/hosts/" + second.name)
		time.Sleep(time.Duration(rand.IntN(700)) * time.Millisecond) // A renewal is made every 1.3 s.
		f.signal(second, syscall.SIGKILL)
		killed := time.Now()
		<-second.done
		second.command = nil
		f.record.add("machine %s is removed", second.name)
		stable := killed
		if trouble {
			f.store.setDown(true)
			f.record.add("the store is down")
			time.Sleep(outage)
			f.store.setDown(false)
			f.record.add("the store is up")
			stable = time.Now().Add(contact) // It is stable once it has been without disruption for contact-s.
		}
		for time.Since(killed) < outage+contact+3*time.Second {
			time.Sleep(pause)
			addresses, err := lookUp(first.directory, "golfo-a")
			now := time.Now()
			if err != nil {
				f.record.add("look-up: %v", err)
				continue
			}
			judged := now.After(stable) && now.Sub(killed) > contact+3*time.Second
			dead := slices.Contains(addresses, second.front)
			f.record.add("look-up: %v; %.2f s after the kill, names the removed machine: %t, judged: %t", addresses, now.Sub(killed).Seconds(), dead, judged)
			if judged && dead && slices.Contains(addresses, first.front) {
				named++
			}
		}
	}
	return named > 3, fmt.Sprintf("%d answers named, beside a running machine, one that had been killed over 6 s before, while the store was stable", named)
}

// runStorm: the store turns one machine of three away while new versions of the configuration come in quick succession. The last one
// takes a key away.
func runStorm(f *fleet, trouble bool) (bool, string) {
	const (
		routes   = 2600                   // 0.7 MB, below value-bytes.
		versions = 12                     // config_storm of the site: for_s 4, gap_s 0.33.
		gap      = 330 * time.Millisecond // Between two versions.
		away     = 6 * time.Second        // The site's platform_down with how "nodes" lasts up to 9 s.
		contact  = 3 * time.Second        // contact-s
		apply    = 2500 * time.Millisecond
		skew     = 5 * time.Second // max-skew-s, by which an unstable core stretches the bounds.
		watched  = 16 * time.Second
	)
	all := &runs{}
	withKeys := func(version int, keys ...string) []byte {
		list := map[string]any{}
		for i := range routes {
			r := route("safe", fmt.Sprintf("/r%05d/", i), "reservas", 0.8, 0.3)
			r["skip-auth"], r["affinity"], r["allowed-regions"] = false, true, []string{}
			list[fmt.Sprintf("r-%05d%s", i, strings.Repeat("x", 8))] = r
		}
		c := config(fmt.Sprintf("%08x", version), list, "reservas")
		c["tenants"] = map[string]any{"huka270": map[string]any{"api-keys": keys, "priority": 1, "rate-per-s": 248, "burst": 248, "allowed-regions": []string{}}}
		data, err := json.Marshal(c)
		must(err)
		return data
	}
	const kept, taken = "xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8"
	first := withKeys(1, kept, taken)
	f.record.add("a version has %d bytes", len(first))
	f.store.put("op/config", first)
	for i, zone := range []string{"golfo-a", "pacifico-a", "altiplano-a"} {
		f.addInstance(fmt.Sprintf("i-%d", i), "reservas", zone, 9, 50*time.Millisecond, all, func(*http.Request) []byte { return []byte("ok") })
	}
	address, busy := f.store.entrance()
	h := f.addHostAt("front-golfo-a-1", "golfo-a", address)
	f.addHost("front-pacifico-a-1", "pacifico-a")
	f.addHost("front-altiplano-a-1", "altiplano-a")
	for _, one := range f.hosts {
		f.start(one)
	}
	f.awaitReady()
	time.Sleep(4 * time.Second)
	if trouble {
		busy.Store(true)
		f.record.add("the store turns %s away", h.name)
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	var acknowledged time.Time
	for version := 2; version <= versions+1; version++ {
		keys := []string{kept, taken}
		if version == versions+1 {
			keys = keys[:1]
		}
		f.store.put("op/config", withKeys(version, keys...))
		acknowledged = time.Now()
		f.record.add("version %d is acknowledged, with %d keys", version, len(keys))
		time.Sleep(gap)
	}
	time.Sleep(time.Until(began.Add(away)))
	busy.Store(false)
	f.record.add("the store serves all machines")
	judgedFrom := time.Now().Add(contact)
	if bound := acknowledged.Add(apply + skew); bound.After(judgedFrom) {
		judgedFrom = bound
	}
	if !trouble {
		judgedFrom = acknowledged.Add(apply)
	}
	broken, judged := 0, 0
	lastBroken := time.Time{}
	for start := time.Now(); time.Since(start) < watched; time.Sleep(100 * time.Millisecond) {
		id := newID()
		socket, err := net.Dial("tcp", h.front)
		must(err)
		_ = socket.SetDeadline(time.Now().Add(2 * time.Second))
		sent := time.Now()
		_, err = io.WriteString(socket, head("GET", "/r00007/1", id, time.Second, "X-Monsoonhub-Credential: "+taken+"\r\n", "Connection: close\r\n"))
		must(err)
		status := 0
		if response, err := http.ReadResponse(bufio.NewReader(socket), nil); err == nil {
			status = response.StatusCode
		}
		_ = socket.Close()
		ran := slices.ContainsFunc(all.all(), func(r run) bool { return r.id == id })
		counts := sent.After(judgedFrom)
		f.record.add("request %s with the key that was taken away, %.2f s after the acknowledgement: %d, run: %t, judged: %t", id, sent.Sub(acknowledged).Seconds(), status, ran, counts)
		if counts {
			judged++
			if ran {
				broken++
				lastBroken = sent
			}
		}
	}
	why := fmt.Sprintf("%d of %d judged requests ran with a key that had been taken away", broken, judged)
	if broken > 0 {
		why += fmt.Sprintf(", the last one sent %.1f s after the acknowledgement", lastBroken.Sub(acknowledged).Seconds())
	}
	return broken > 0, why
}
