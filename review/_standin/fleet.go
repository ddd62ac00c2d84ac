package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of a small installation, as in the site files of the users. Times are in seconds.
const (
	graceSeconds   = 6
	historySeconds = 20
	memoryMB       = 284
)

// host is one process of "monsoonhub serve".
type host struct {
	id, zone, region string
	front, ready     string
	settings         string
	output           *os.File
	command          *exec.Cmd
	storeProxy       *proxy
	exited           chan struct{}
}

// fleet is a small installation: a store, instances and hosts.
type fleet struct {
	dir      string
	store    *store
	address  string // Of the store.
	regions  map[string]string
	hosts    []*host
	record   *os.File
	start    time.Time
	recordMu sync.Mutex

	mu        sync.Mutex
	arrivals  []arrival
	ends      []ending
	instances []*instance
	nextID    atomic.Uint64
}

func newFleet(regions map[string]string) *fleet {
	dir, err := os.MkdirTemp("", "review")
	check(err)
	record, err := os.Create(os.Getenv("RECORD"))
	check(err)
	f := &fleet{dir: dir, store: newStore(historySeconds * time.Second), regions: regions, record: record, start: time.Now()}
	l := listen()
	f.address = l.Addr().String()
	server := &http.Server{Handler: f.store}
	go func() { _ = server.Serve(l) }() // Ends with the process.
	return f
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// logf writes one line to the record, with the time since the start in seconds.
func (f *fleet) logf(format string, arguments ...any) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// arrive records a request that reached an instance.
func (f *fleet) arrive(a arrival) {
	f.mu.Lock()
	f.arrivals = append(f.arrivals, a)
	f.mu.Unlock()
	word := "rejects"
	if a.ran {
		word = "runs"
	}
	f.logf("instance %s %s request %s %s", a.instance, word, a.id, a.path)
}

// addInstance starts an instance and registers it.
func (f *fleet) addInstance(id, service, zone string, work time.Duration) *instance {
	s := startInstance(id, service, zone, work, f.arrive)
	s.ended = func(e ending) {
		f.mu.Lock()
		f.ends = append(f.ends, e)
		f.mu.Unlock()
		f.logf("instance %s ends request %s after %.3f s, dropped: %t", s.id, e.id, e.at.Sub(e.began).Seconds(), e.dropped)
	}
	f.mu.Lock()
	f.instances = append(f.instances, s)
	f.mu.Unlock()
	f.register(s)
	return s
}

// register writes the entry of an instance and returns the moment of the acknowledgement.
func (f *fleet) register(s *instance) time.Time { return f.store.Put("servers/"+s.id, s.entry()) }

// loopback is an address of this run alone, so that no connection of another run takes a port that a host is to listen on.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// listen opens a listener on a free port.
func listen() net.Listener {
	l, err := net.Listen("tcp", loopback+":0")
	check(err)
	return l
}

var usedPorts = map[string]bool{}

func freeAddress() string {
	for {
		l := listen()
		address := l.Addr().String()
		check(l.Close())
		if !usedPorts[address] {
			usedPorts[address] = true
			return address
		}
	}
}

// addHost starts a host with settings as the template of the deploy file makes them.
func (f *fleet) addHost(id, zone string) *host {
	h := &host{id: id, zone: zone, region: f.regions[zone], front: freeAddress(), ready: freeAddress(), storeProxy: newProxy(f.address)}
	settings, err := json.MarshalIndent(map[string]any{
		"host-id": id, "data-centre": zone, "region": h.region, "regions": f.regions, "listen": h.front, "ready-listen": h.ready,
		"directory-listen": freeAddress(), "peer-listen": freeAddress(), "metrics-listen": freeAddress(),
		"store": h.storeProxy.address(), "store-history-s": historySeconds, "memory-mb": memoryMB, "max-descriptors": 4100,
		"file-descriptors": 200, "grace-s": graceSeconds, "directory-keep-s": 5, "retry-ratio": 0.2, "retry-slack": 56,
		"quota-window-s": 5, "quota-over": 0.1, "quota-slack": 20,
	}, "", "  ") // JSON is YAML too.
	check(err)
	path := filepath.Join(f.dir, id+".yaml")
	check(os.WriteFile(path, settings, 0o600))
	output, err := os.Create(filepath.Join(f.dir, id+".log"))
	check(err)
	h.settings, h.output = path, output
	f.hosts = append(f.hosts, h)
	f.restart(h)
	return h
}

// restart starts the process of a host.
func (f *fleet) restart(h *host) {
	command, exited := exec.Command("target/monsoonhub", "serve", "--settings", h.settings), make(chan struct{})
	command.Stdout, command.Stderr = h.output, h.output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(command.Start())
	go func() {
		_ = command.Wait() // The record says how the process ended.
		f.logf("process of %s ended: %s", h.id, command.ProcessState)
		close(exited)
	}()
	h.command, h.exited = command, exited
	f.logf("host %s started, callers at %s, store through %s", h.id, h.front, h.storeProxy.address())
}

// waitReady waits until all hosts are ready. It reports false after ten seconds.
func (f *fleet) waitReady() bool {
	deadline := time.Now().Add(10 * time.Second)
	for _, h := range f.hosts {
		for {
			r, err := http.Get("http://" + h.ready + "/ready")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				f.logf("host %s is not ready", h.id)
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.logf("all hosts are ready")
	return true
}

// stop ends all processes and writes the last lines of their logs to the record if asked.
func (f *fleet) stop(keepLogs bool) {
	for _, h := range f.hosts {
		_ = h.command.Process.Signal(syscall.SIGCONT)
		_ = h.command.Process.Kill()
		select {
		case <-h.exited:
		case <-time.After(5 * time.Second):
		}
	}
	for _, h := range f.hosts {
		if data, err := os.ReadFile(filepath.Join(f.dir, h.id+".log")); err == nil && keepLogs {
			for line := range strings.Lines(string(data)) {
				if strings.Contains(line, "part=belief") || strings.Contains(line, "part=poison") || strings.Contains(line, "part=place") ||
					strings.Contains(line, "panic") {
					if len(line) > 300 {
						line = line[:300] + "\n"
					}
					_, _ = f.record.WriteString("log " + line)
				}
			}
		}
	}
	_ = f.record.Close()
	_ = os.RemoveAll(f.dir)
}

// response is what a client saw.
type response struct {
	sent   time.Time
	took   time.Duration
	id     string
	status int // 0 if the connection ended without an answer.
	header http.Header
	body   string
	err    error
}

// request describes a request of a client.
type request struct {
	method, path, key string
	body              io.Reader
	length            int64
	deadline          time.Duration
}

// send sends one request over a new connection.
func (f *fleet) send(h *host, q request) response {
	id := fmt.Sprintf("%016x", 0xa000000000000000+f.nextID.Add(1))
	x := response{id: id, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	x.status, x.header, x.body, x.err = exchange(ctx, h.front, q, id)
	x.took = time.Since(x.sent)
	f.logf("client sent %s %s %s to %s %.3f s ago: status %d, Retry-After %q, %v", id, q.method, q.path, h.id, x.took.Seconds(), x.status,
		x.header.Get("Retry-After"), x.err)
	return x
}

func exchange(ctx context.Context, address string, q request, id string) (int, http.Header, string, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = c.Close() }()
	deadline, _ := ctx.Deadline()
	check(c.SetDeadline(deadline))
	r, err := http.NewRequest(q.method, "http://client.example"+q.path, q.body)
	check(err)
	r.ContentLength = q.length
	r.Header.Set("X-Monsoonhub-Request-Id", id)
	r.Header.Set("X-Monsoonhub-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	r.Header.Set("Connection", "close")
	if q.key != "" {
		r.Header.Set("X-Monsoonhub-Credential", q.key)
	}
	written := make(chan error, 1)
	go func() { written <- r.Write(c) }()
	a, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return 0, nil, "", err
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, a.Header, "", err
	}
	return a.StatusCode, a.Header, string(body), nil
}

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }
