package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const hostName = "ficu95.example"

// callerPause is the pause of a caller that could not connect.
const callerPause = 100 * time.Millisecond

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
		size    = 540000 // The largest answer of guide-download on sernavij-lb-grown.
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
		"guide":  route("safe", "/guide/", "docs", 3, 0.4),
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
				if err != nil {
					f.record.add("connect: %v", err)
					time.Sleep(callerPause)
					continue
				}
				_ = socket.SetDeadline(time.Now().Add(4 * time.Second))
				if _, err := io.WriteString(socket, head("GET", "/guide/1", first, 3*time.Second)); err != nil {
					f.record.add("send: %v", err)
					_ = socket.Close()
					continue
				}
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
	if sent == 0 {
		panic(errors.New("no request was sent"))
	}
	return broken > 0, fmt.Sprintf("%d of %d answers with status 200, the instance's signature and the whole length had another body than the instance sent; %s", broken, sent, example)
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

// garbler is an instance that spoils some of its answers: it breaks off the body and then begins a second copy of the answer before it,
// which is broken off too, as the connection ends.
type garbler struct {
	id      string
	garbles func() int // Returns how many bytes of the body are missing, 0 for a sound answer.
	runs    *runs
	record  *record
}

func (g *garbler) serve(l net.Listener) {
	for {
		socket, err := l.Accept()
		if err != nil {
			return
		}
		go g.serveConn(socket)
	}
}

func (g *garbler) serveConn(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	before := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Monsoonhub-Request-Id")
		if r.Header.Get("X-Monsoonhub-Expected-Instance") != g.id {
			_, _ = fmt.Fprintf(socket, "HTTP/1.1 421 Misdirected Request\r\nX-Monsoonhub-Request-Id: %s\r\nX-Monsoonhub-Instance-Id: %s\r\nX-Monsoonhub-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, g.id)
			continue
		}
		one := &run{id: id, instance: g.id, line: r.Method + " " + r.RequestURI, body: string(body), started: time.Now()}
		time.Sleep(5 * time.Millisecond)
		one.ended = time.Now()
		g.runs.mu.Lock()
		g.runs.list = append(g.runs.list, one)
		g.runs.mu.Unlock()
		data := string(pattern(id, 400))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Monsoonhub-Request-Id: %s\r\nX-Monsoonhub-Server-Signature: 3e1b.07.%s\r\nX-Monsoonhub-Server-Load: 1,0,9\r\nContent-Length: %d\r\n\r\n%s", id, id, len(data), data)
		missing := 0
		if before != "" {
			missing = g.garbles()
		}
		if missing == 0 {
			if _, err := io.WriteString(socket, answer); err != nil {
				return
			}
			before = answer
			continue
		}
		g.record.add("instance %s ran %s, breaks off the last %d bytes of its answer and begins a second copy of the answer before it: %q", g.id, id, missing, before[:missing])
		_, _ = io.WriteString(socket, answer[:len(answer)-missing])
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(socket, before[:missing])
		return
	}
}

// runTail: one of two instances breaks off some answers, and a late second copy of another answer fills up what is missing.
func runTail(f *fleet, trouble bool) (bool, string) {
	const (
		least   = 5               // Bytes that are missing: "HTTP/" at least.
		every   = 34              // One answer in so many is spoiled: less than 0.03.
		length  = 5 * time.Second // Largest garble with "extra late" of the site.
		callers = 8
	)
	all := &runs{}
	f.store.put("op/config", config("00000001", map[string]any{
		"slot-query": route("safe", "/slot/", "reservas", 0.8, 0.3),
		"booking":    route("unsafe", "/book/", "reservas", 0.8, 0.4),
	}, "reservas"))
	var mu sync.Mutex
	answers, spoiled := 0, 0
	garbling := false
	for i, zone := range []string{"golfo-a", "golfo-b"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		defer func() { _ = l.Close() }()
		g := &garbler{id: fmt.Sprintf("i-%d", i), runs: all, record: f.record}
		g.garbles = func() int {
			mu.Lock()
			defer mu.Unlock()
			if i != 0 || !garbling {
				return 0
			}
			if answers++; answers%every != 0 {
				return 0
			}
			spoiled++
			return least + rand.IntN(36)
		}
		go g.serve(l)
		entry := instance{id: g.id, service: "reservas", zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli()}
		entry.register(f.store, 9)
		go func() {
			for {
				select {
				case <-f.store.stop:
					return
				case <-time.After(1500 * time.Millisecond):
					entry.register(f.store, 9)
				}
			}
		}()
	}
	h := f.addHost("front-golfo-a-1", "golfo-a")
	f.start(h)
	f.awaitReady()
	time.Sleep(time.Second)
	broken, sent, whole := 0, 0, 0
	example := ""
	mu.Lock()
	garbling = trouble
	mu.Unlock()
	end := time.Now().Add(length)
	var wait sync.WaitGroup
	for range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(end) {
				id := newID()
				text := head("GET", "/slot/"+id, id, time.Second)
				if rand.IntN(3) == 0 {
					text = head("POST", "/book/"+id, id, time.Second, "Content-Length: 5\r\n") + "hello"
				}
				socket, err := net.Dial("tcp", h.front)
				if err != nil {
					f.record.add("connect: %v", err)
					time.Sleep(callerPause)
					continue
				}
				_ = socket.SetDeadline(time.Now().Add(2 * time.Second))
				if _, err := io.WriteString(socket, text); err != nil {
					f.record.add("send: %v", err)
					_ = socket.Close()
					continue
				}
				response, err := http.ReadResponse(bufio.NewReader(socket), nil)
				var body []byte
				if err == nil {
					body, err = io.ReadAll(response.Body)
				}
				_ = socket.Close()
				line, _, _ := strings.Cut(text, " HTTP/")
				mu.Lock()
				sent++
				switch {
				case err != nil:
					f.record.add("%s %s: %v", id, line, err)
				case response.StatusCode == http.StatusOK && !bytes.Equal(body, pattern(id, 400)):
					broken++
					example = fmt.Sprintf("the body of %s ends with %q", line[:5], body[len(body)-20:])
					f.record.add("%s %s: 200, signature %q, body of %d bytes that is not the instance's; it ends with %q", id, line,
						response.Header.Get("X-Monsoonhub-Server-Signature"), len(body), body[len(body)-20:])
				default:
					whole++
					f.record.add("%s %s: %d", id, line, response.StatusCode)
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	wait.Wait()
	for _, r := range all.all() {
		f.record.add("run %s at %s: %s", r.id, r.instance, r.line)
	}
	if broken+whole == 0 {
		panic(errors.New("no request was answered"))
	}
	return broken > 0, fmt.Sprintf("of %d requests, %d got status 200 and the signature with a body that is not the instance's (%d answers were spoiled); %s", sent, broken, spoiled, example)
}
