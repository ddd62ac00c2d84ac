package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of one page of a listing, as the protocol page gives them.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// item is one key of the store, and an event if it is in the history.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"create-revision"`
	Lease   uint64 `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
	at      time.Time
}

// MarshalJSON writes a removal without a value, as the protocol page has it.
func (i item) MarshalJSON() ([]byte, error) {
	if i.Removed {
		return json.Marshal(map[string]any{"key": i.Key, "rev": i.Rev, "removed": true})
	}
	type plain item
	return json.Marshal(plain(i))
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in for the platform's key-value store. It is linearizable and loses nothing.
type store struct {
	history time.Duration

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	events  []item
	dropped uint64 // Revision up to which the history is gone.
	leases  map[uint64]*lease
	nextID  uint64
	changed chan struct{}

	largestWatch int // Bytes of the largest answer to a watch.
}

func newStore(history time.Duration) *store {
	s := &store{
		history: history,
		rev:     1,
		items:   map[string]item{},
		leases:  map[uint64]*lease{},
		nextID:  1000,
		changed: make(chan struct{}),
	}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
	n := 0
	for n < len(s.events) && now.Sub(s.events[n].at) > s.history {
		s.dropped = s.events[n].Rev
		n++
	}
	s.events = s.events[n:]
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) put(key string, value []byte, leaseID uint64) uint64 {
	s.rev++
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: leaseID, at: time.Now()}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.event(i)
	return s.rev
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.event(item{Key: key, Rev: s.rev, Removed: true, at: time.Now()})
}

func (s *store) event(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key as an operator or an instance does, and returns the moment of the acknowledgement.
func (s *store) Put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, data, 0)
	return time.Now()
}

// Delete removes a key.
func (s *store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Has reports whether a key exists.
func (s *store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func reply(w http.ResponseWriter, status int, body any) int {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // A caller that has left needs no answer.
	return len(data)
}

// ServeHTTP implements the calls of the protocol page.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		i, ok := s.items[query.Get("key")]
		rev := s.rev
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{"store-revision": rev})
			return
		}
		reply(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "rev": i.Rev, "create-revision": i.Created,
			"lease": i.Lease, "store-revision": rev})
	case r.URL.Path == "/kv-range":
		s.rangePage(w, query.Get("prefix"), query.Get("after"))
	case r.URL.Path == "/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/kv-txn":
		s.txn(w, r)
	case r.URL.Path == "/kv-lease":
		var in struct {
			TTL float64 `json:"ttl-s_time"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in) // A call without a term gets the shortest one.
		ttl := time.Duration(max(in.TTL, 1) * float64(time.Second))
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-s_time": ttl.Seconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, map[string]any{"ttl-s_time": l.ttl.Seconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) rangePage(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, bytes, more := []item{}, 0, false
	for _, key := range keys {
		i := s.items[key]
		if len(page) > 0 && (len(page) >= pageItems || bytes+len(i.Value) > pageBytes) {
			more = true
			break
		}
		page = append(page, i)
		bytes += len(i.Value)
	}
	rev := s.rev
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": page, "has-more": more, "store-revision": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []item{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			n := reply(w, http.StatusOK, map[string]any{"events": events, "store-revision": rev})
			s.mu.Lock()
			s.largestWatch = max(s.largestWatch, n)
			s.mu.Unlock()
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
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
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range in.Precondition {
		if s.items[p.Key].Rev != p.Rev {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	for _, p := range in.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

// value returns the value of a key.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}
