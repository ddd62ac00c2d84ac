package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes the lines of record.txt, with the seconds since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	must(err)
	return &record{file: file, started: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// zoneRegions are the places of the site tlaloc-escolta.
var zoneRegions = map[string]string{
	"golfo-a": "golfo", "golfo-b": "golfo",
	"pacifico-a": "pacifico", "pacifico-b": "pacifico",
	"altiplano-a": "altiplano", "altiplano-b": "altiplano",
}

// host is one process of the system.
type host struct {
	name, zone                             string
	front, ready, directory, peer, metrics string
	settings                               string
	command                                *exec.Cmd
	done                                   chan struct{}
}

// fleet starts the hosts of a small deployment.
type fleet struct {
	binary string
	folder string
	store  *store
	record *record
	hosts  []*host

	stopOnce sync.Once
}

func newFleet(binary string, rec *record) *fleet {
	folder, err := os.MkdirTemp("", "review-2-")
	must(err)
	return &fleet{binary: binary, folder: folder, store: newStore(), record: rec}
}

// freeAddresses returns loopback addresses with free ports. They are taken together, so that no two are equal.
func freeAddresses(n int) []string {
	var listeners []net.Listener
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		listeners = append(listeners, l)
		list = append(list, l.Addr().String())
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return list
}

// addHost prepares a host. The settings are those of deploy/settings.yaml.tmpl, with the figures of the site tlaloc-escolta.
func (f *fleet) addHost(name, zone string) *host {
	a := freeAddresses(5)
	h := &host{name: name, zone: zone, front: a[0], ready: a[1], directory: a[2], peer: a[3], metrics: a[4]}
	regions, err := json.Marshal(zoneRegions)
	must(err)
	text := fmt.Sprintf(`host-id: %q
data-centre: %q
region: %q
regions: %s
listen: %q
ready-listen: %q
directory-listen: %q
peer-listen: %q
metrics-listen: %q
store: %q
store-history-s: 20
memory-mb: 284
link-mbps: 1000
cpu-share: 0.32
cores: 1
max-descriptors: 4100
file-descriptors: 200
grace-s: 6
directory-keep-s: 5
retry-ratio: 0.2
retry-slack: 56
quota-window-s: 5
quota-over: 0.1
quota-slack: 20
contracts: ["base","drain","config","cost","retry","recover","places","tenants","quota","platform"]
target-speed: auto
admission: auto
object-copies: auto
demand-shares: auto
directory-hosts: auto
`, name, zone, zoneRegions[zone], regions, h.front, h.ready, h.directory, h.peer, h.metrics, f.store.address())
	h.settings = filepath.Join(f.folder, name+".yaml")
	must(os.WriteFile(h.settings, []byte(text), 0o600))
	f.hosts = append(f.hosts, h)
	return h
}

// start starts the process of a host with the command of the deploy file.
func (f *fleet) start(h *host) {
	h.command = exec.Command(f.binary, "serve", "--settings", h.settings)
	logs, err := os.Create(filepath.Join(f.folder, h.name+".log"))
	must(err)
	h.command.Stdout, h.command.Stderr = logs, logs
	must(h.command.Start())
	h.done = make(chan struct{})
	go func() {
		_ = h.command.Wait()
		close(h.done)
	}()
	f.record.add("host %s of %s starts as process %d", h.name, h.zone, h.command.Process.Pid)
}

// awaitReady waits until all started hosts say that they are ready.
func (f *fleet) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	client := http.Client{Timeout: time.Second}
	for _, h := range f.hosts {
		if h.command == nil {
			continue
		}
		for {
			response, err := client.Get("http://" + h.ready + "/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				panic(errors.New("host " + h.name + " is not ready"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.add("all hosts are ready")
}

func (f *fleet) signal(h *host, s syscall.Signal) {
	f.record.add("%s to host %s", s, h.name)
	_ = h.command.Process.Signal(s)
}

// stop ends all processes and removes the folder.
func (f *fleet) stop() { f.stopOnce.Do(f.stopAll) }

func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		if h.command == nil {
			continue
		}
		_ = h.command.Process.Signal(syscall.SIGCONT)
		_ = h.command.Process.Kill()
		<-h.done
	}
	close(f.store.stop)
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// run is one request at an instance.
type run struct {
	id        string
	instance  string
	line      string
	body      string
	started   time.Time
	ended     time.Time // Zero while it works.
	cancelled bool      // Its connection was closed before its end.
}

// instance is a sound server of a service: it works on a number of requests at once, queues others, and drops those whose connection
// is closed.
type instance struct {
	id, service, zone string
	address           string
	slots             chan struct{}
	work              time.Duration
	answer            func(r *http.Request) []byte
	runs              *runs
	server            *http.Server
	seq               int
	born              int64
}

// runs holds all requests that instances have begun.
type runs struct {
	mu   sync.Mutex
	list []*run
}

func (s *runs) all() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]run, 0, len(s.list))
	for _, r := range s.list {
		out = append(out, *r)
	}
	return out
}

// addInstance starts an instance and registers it; heartbeats follow until the store stops.
func (f *fleet) addInstance(id, service, zone string, slots int, work time.Duration, all *runs, answer func(*http.Request) []byte) *instance {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	in := &instance{
		id: id, service: service, zone: zone, address: l.Addr().String(), slots: make(chan struct{}, slots), work: work,
		answer: answer, runs: all, born: time.Now().UnixMilli(),
	}
	in.server = &http.Server{Handler: in, IdleTimeout: 10 * time.Second}
	go func() { _ = in.server.Serve(l) }()
	in.register(f.store, slots)
	go func() {
		for {
			select {
			case <-f.store.stop:
				_ = in.server.Close()
				return
			case <-time.After(1500 * time.Millisecond):
				if !f.store.isDown() {
					in.register(f.store, slots)
				}
			}
		}
	}()
	return in
}

func (in *instance) register(s *store, slots int) {
	in.seq++
	s.put("servers/"+in.id, map[string]any{
		"service": in.service, "address": in.address, "zone": in.zone, "version": "v1", "slots": slots, "state": "ready",
		"warmup-left-s": 0, "seq": in.seq, "born": in.born,
	})
}

func (in *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	if expected := r.Header.Get("X-Monsoonhub-Expected-Instance"); expected != "" && expected != in.id {
		header.Set("X-Monsoonhub-Instance-Id", in.id)
		header.Set("X-Monsoonhub-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Monsoonhub-Request-Id")
	header.Set("X-Monsoonhub-Request-Id", id)
	body := new(strings.Builder)
	if _, err := copyBody(body, r); err != nil {
		return
	}
	select {
	case in.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-in.slots }()
	one := &run{id: id, instance: in.id, line: r.Method + " " + r.RequestURI, body: body.String(), started: time.Now()}
	in.runs.mu.Lock()
	in.runs.list = append(in.runs.list, one)
	in.runs.mu.Unlock()
	select {
	case <-time.After(in.work):
	case <-r.Context().Done():
	}
	in.runs.mu.Lock()
	one.ended, one.cancelled = time.Now(), r.Context().Err() != nil
	in.runs.mu.Unlock()
	if r.Context().Err() != nil {
		return
	}
	data := in.answer(r)
	header.Set("X-Monsoonhub-Server-Signature", "3e1b.07."+id)
	header.Set("X-Monsoonhub-Server-Load", fmt.Sprintf("%d,0,%d", len(in.slots), cap(in.slots)))
	header.Set("Content-Length", fmt.Sprint(len(data)))
	header.Set("Keep-Alive", "timeout=10")
	_, _ = w.Write(data)
}
