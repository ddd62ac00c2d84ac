package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"create-revision"`
	Lease   uint64 `json:"lease"`
}

type event struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"create-revision,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
	at      time.Time
}

type lease struct {
	ttl  time.Duration
	left time.Duration // Time left. It stands still while the store is down.
}

// store is a stand-in for the platform's store, as PROTOCOL.md describes it. While it is down, it does not answer and leases pause.
type store struct {
	mu        sync.Mutex
	items     map[string]item
	events    []event
	compacted uint64
	rev       uint64
	leases    map[uint64]*lease
	nextLease uint64
	changed   chan struct{}
	down      bool
	history   time.Duration
	listener  net.Listener
	stop      chan struct{}
	onRenew   func(id uint64) // Called for each renewal of a lease, with the mutex held.
}

func newStore() *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &store{
		items:     map[string]item{},
		rev:       1,
		leases:    map[uint64]*lease{},
		nextLease: 1000,
		changed:   make(chan struct{}),
		history:   20 * time.Second,
		listener:  l,
		stop:      make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			// No answer until the store is up again; the call is not done.
			for s.isDown() {
				select {
				case <-r.Context().Done():
					panic(http.ErrAbortHandler)
				case <-time.After(10 * time.Millisecond):
				}
			}
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	go s.run()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.notify()
	s.mu.Unlock()
}

// run ends leases and drops history.
func (s *store) run() {
	const tick = 5 * time.Millisecond
	last := time.Now()
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(tick):
		}
		now := time.Now()
		passed := now.Sub(last)
		last = now
		s.mu.Lock()
		if !s.down {
			for id, l := range s.leases {
				if l.left -= passed; l.left <= 0 {
					s.endLease(id)
				}
			}
			for len(s.events) > 0 && now.Sub(s.events[0].at) > s.history {
				s.compacted = s.events[0].Rev
				s.events = s.events[1:]
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.rev++
	s.events = append(s.events, event{Key: key, Rev: s.rev, Removed: true, at: time.Now()})
	s.notify()
}

// put writes a key for the operator or an instance, which are never turned away here.
func (s *store) put(key string, value any) {
	data, ok := value.([]byte)
	if !ok {
		var err error
		data, err = json.Marshal(value)
		must(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, data, 0)
	s.notify()
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	it := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.events = append(s.events, event{Key: key, Value: value, Rev: it.Rev, Created: it.Created, Lease: leaseID, at: time.Now()})
}

// awaitRenewal waits for the next renewal of the lease of a key.
func (s *store) awaitRenewal(key string) {
	renewed := make(chan struct{}, 1)
	s.mu.Lock()
	s.onRenew = func(id uint64) {
		if s.items[key].Lease == id {
			select {
			case renewed <- struct{}{}:
			default:
			}
		}
	}
	s.mu.Unlock()
	<-renewed
	s.mu.Lock()
	s.onRenew = nil
	s.mu.Unlock()
}

// keys returns the keys with a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, key)
		}
	}
	sort.Strings(list)
	return list
}

func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, 404, map[string]any{"store-revision": rev})
		return
	}
	reply(w, 200, struct {
		item
		At uint64 `json:"store-revision"`
	}{it, rev})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	keys := s.keys(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	list, size, more := []item{}, 0, false
	for _, key := range keys {
		if key <= after && after != "" {
			continue
		}
		it, ok := s.items[key]
		if !ok {
			continue
		}
		if len(list) >= 500 || size > 1<<20 {
			more = true
			break
		}
		list = append(list, it)
		size += len(it.Value)
	}
	reply(w, 200, map[string]any{"items": list, "has-more": more, "store-revision": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.compacted {
			s.mu.Unlock()
			reply(w, 410, map[string]any{})
			return
		}
		var events []event
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "store-revision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, 200, map[string]any{"events": []event{}, "store-revision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Precondition []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range call.Precondition {
		if s.items[p.Key].Rev != p.Rev {
			reply(w, 412, map[string]any{"items": []item{s.items[p.Key]}})
			return
		}
	}
	for _, p := range call.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.rev++
	for _, p := range call.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	rev := s.rev
	for _, key := range call.Deletes {
		s.remove(key)
	}
	s.notify()
	reply(w, 200, map[string]any{"rev": rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL float64 `json:"ttl-s_time"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	ttl := time.Duration(max(call.TTL, 1) * float64(time.Second))
	s.mu.Lock()
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &lease{ttl: ttl, left: ttl}
	s.mu.Unlock()
	reply(w, 200, map[string]any{"lease": id, "ttl-s_time": ttl.Seconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.left = l.ttl
		if s.onRenew != nil {
			s.onRenew(id)
		}
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, 404, map[string]any{})
		return
	}
	reply(w, 200, map[string]any{"ttl-s_time": l.ttl.Seconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, 404, map[string]any{})
		return
	}
	s.endLease(id)
	reply(w, 200, map[string]any{})
}
