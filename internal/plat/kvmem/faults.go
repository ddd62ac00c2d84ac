package kvmem

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"monsoonhub.example/steer"
)

// Faults are the faults in force. The zero value is a store without faults.
type Faults struct {
	Down            bool          `json:"down"`             // Every call fails with ErrDown and has no effect.
	Delay           time.Duration `json:"delay"`            // Added to every call, half before and half after its effect.
	LoseNext        int           `json:"lose-next"`        // Answers to writes still to lose, after the write took effect.
	LoseProbability float64       `json:"lose-probability"` // Probability that the answer to a write is lost, 0 to 1.
	SilentWatches   bool          `json:"silent-watches"`   // Watches never answer.
}

// Counters are the calls made so far.
type Counters struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Copy is a copy of the store's contents, made by Snapshot.
type Copy struct {
	data data
}

// Faults returns the faults in force. LoseNext is what remains.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.notify()
	s.mu.Unlock()
	level.Info(s.logger).Log("msg", "Faults set.", "down", f.Down, "delay", f.Delay, "lose-next", f.LoseNext)
}

// Counters returns the calls made so far. Calls that failed count.
func (s *Store) Counters() Counters {
	return Counters{
		Reads:   s.reads.Count(),
		Writes:  s.writes.Count(),
		Watches: s.watches.Count(),
	}
}

// Snapshot copies the contents.
func (s *Store) Snapshot() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		data: s.data.at(time.Now()).clone(),
	}
}

// Restore puts an older copy in force. Revisions go back with it, leases of the copy start a new term, and leases
// granted since are lost.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	s.data = c.data.clone()
	s.restored++
	for id, l := range s.data.leases {
		l.ends = time.Now().Add(l.term)
		s.data.leases[id] = l
	}
	s.notify()
	s.mu.Unlock()
	level.Warn(s.logger).Log("msg", "Older copy restored.", "revision", c.data.revision)
}

func (d *data) clone() data {
	return data{
		revision: d.revision,
		granted:  d.granted,
		entries:  maps.Clone(d.entries),
		leases:   maps.Clone(d.leases),
	}
}

// arrive applies the faults that act before a call takes effect.
func (s *Store) arrive(ctx context.Context) error {
	f := s.Faults()
	if err := sleep(ctx, f.Delay/2); err != nil {
		return eris.Wrap(steer.ErrDown, err.Error())
	}
	if s.Faults().Down {
		return steer.ErrDown
	}
	return nil
}

// answer applies the faults that act after a call took effect. It returns lost when the answer does not arrive.
func (s *Store) answer(ctx context.Context, lost error) error {
	f := s.Faults()
	if err := sleep(ctx, f.Delay/2); err != nil {
		return eris.Wrap(lost, err.Error())
	}
	if !errors.Is(lost, steer.ErrUnknown) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		return lost
	}
	if s.faults.LoseProbability > 0 && s.random.Float64() < s.faults.LoseProbability {
		return lost
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Control returns a handler by which tests in other processes set faults: GET and PUT /v1/faults, GET /v1/counters,
// POST /v1/snapshot and POST /v1/restore, which restores the last snapshot. Bodies are JSON, durations nanoseconds.
func (s *Store) Control() http.Handler {
	mux := http.NewServeMux()
	last := s.Snapshot()
	mux.HandleFunc("GET /v1/faults", func(w http.ResponseWriter, _ *http.Request) { respond(w, s.Faults()) })
	mux.HandleFunc("GET /v1/counters", func(w http.ResponseWriter, _ *http.Request) { respond(w, s.Counters()) })
	mux.HandleFunc("PUT /v1/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&f)
		if err == nil && (f.Delay < 0 || f.LoseNext < 0 || f.LoseProbability < 0 || f.LoseProbability > 1) {
			err = errors.New("fault out of range")
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		respond(w, f)
	})
	var mu sync.Mutex // Guards last.
	mux.HandleFunc("POST /v1/snapshot", func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		last = s.Snapshot()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /v1/restore", func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		s.Restore(last)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // A caller that is gone needs no answer.
}
