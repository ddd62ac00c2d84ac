package gossip

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/share"
)

// useScale is the number of units on the wire for one request per second.
const useScale = 100

// message is what a host tells another.
type message struct {
	Host       string           `cbor:"host"`
	DataCentre string           `cbor:"data-centre"`
	Hosts      int              `cbor:"hosts,omitempty"` // Not 0: Use is that of so many hosts, all of the data centre.
	Use        map[string]use   `cbor:"use,omitempty"`   // By customer.
	Centres    []centre         `cbor:"centres,omitempty"`
	Leaving    bool             `cbor:"leaving,omitempty"`
	Reaches    bool             `cbor:"reaches,omitempty"` // Emptied and Cold are set.
	Emptied    []string         `cbor:"emptied,omitempty"`
	Cold       map[string]int64 `cbor:"cold,omitempty"`   // Milliseconds left by target.
	Notes      []note           `cbor:"notes,omitempty"`  // What hosts of the data centre saw.
	Passed     []note           `cbor:"passed,omitempty"` // What other data centres of the region told the sender.
	Entries    *entries         `cbor:"entries,omitempty"`
}

// use holds what was asked and admitted, in hundredths of a request per second.
type use [2]uint32

// note is a steer.TargetNote.
type note struct {
	_        struct{} `cbor:",toarray"`
	Target   string
	Running  int
	Waiting  int
	Slots    int // 0 without a report.
	Answered int
	Failed   int
	Broke    bool
	Age      int64 // Milliseconds.
}

// centre is what another data centre told the sender.
type centre struct {
	DataCentre string         `cbor:"data-centre"`
	Hosts      int            `cbor:"hosts"`
	Use        map[string]use `cbor:"use"`
	Age        int64          `cbor:"age"` // Milliseconds since it came.
}

// entries are changes of the platform's entries.
type entries struct {
	From  uint64 `cbor:"from"`
	To    uint64 `cbor:"to"`
	Facts []fact `cbor:"facts,omitempty"`
}

// fact is a steer.Fact with its problem as text.
type fact struct {
	Fact    steer.Fact `cbor:"fact"`
	Problem string     `cbor:"problem,omitempty"`
}

func encode(m *message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return data, nil
}

func decode(data []byte) (*message, error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	return &m, nil
}

func useOf(r share.Report) map[string]use {
	scaled := func(x float64) uint32 { return uint32(math.Max(0, math.Min(x*useScale, math.MaxUint32))) }
	out := make(map[string]use, len(r))
	for name, u := range r {
		out[name] = use{scaled(u.Asked), scaled(u.Admitted)}
	}
	return out
}

func reportOf(m map[string]use) share.Report {
	out := make(share.Report, len(m))
	for name, u := range m {
		out[name] = share.Use{
			Asked:    float64(u[0]) / useScale,
			Admitted: float64(u[1]) / useScale,
		}
	}
	return out
}

func notesOf(list []steer.TargetNote) []note {
	out := make([]note, 0, len(list))
	for _, n := range list {
		out = append(out, note{
			Target:   n.Target,
			Running:  n.Load.Running,
			Waiting:  n.Load.Waiting,
			Slots:    n.Load.Slots,
			Answered: n.Answered,
			Failed:   n.Failed,
			Broke:    n.Broke,
			Age:      n.Age.Milliseconds(),
		})
	}
	return out
}

func targetNotes(list []note) []steer.TargetNote {
	out := make([]steer.TargetNote, 0, len(list))
	for _, n := range list {
		out = append(out, steer.TargetNote{
			Target: n.Target,
			Load: steer.TargetLoad{
				Running: n.Running,
				Waiting: n.Waiting,
				Slots:   n.Slots,
			},
			Answered: n.Answered,
			Failed:   n.Failed,
			Broke:    n.Broke,
			Age:      time.Duration(n.Age) * time.Millisecond,
		})
	}
	return out
}

func coldOf(cold map[string]time.Duration) map[string]int64 {
	out := make(map[string]int64, len(cold))
	for id, left := range cold {
		out[id] = left.Milliseconds()
	}
	return out
}

// hint returns what a message says to those that do not reach the platform.
func (m *message) hint() Hint {
	h := Hint{
		Emptied: m.Emptied,
		Cold:    make(map[string]time.Duration, len(m.Cold)),
	}
	for id, left := range m.Cold {
		h.Cold[id] = time.Duration(left) * time.Millisecond
	}
	return h
}

func wireEntries(c steer.Changes) *entries {
	e := &entries{
		From: c.From,
		To:   c.To,
	}
	for _, f := range c.Facts {
		w := fact{
			Fact: f,
		}
		if f.Problem != nil {
			w.Problem, w.Fact.Problem = f.Problem.Error(), nil
		}
		e.Facts = append(e.Facts, w)
	}
	return e
}

func (e *entries) changes() steer.Changes {
	c := steer.Changes{
		From: e.From,
		To:   e.To,
	}
	for _, w := range e.Facts {
		f := w.Fact
		if w.Problem != "" {
			f.Problem = errors.New(w.Problem)
		}
		c.Facts = append(c.Facts, f)
	}
	return c
}
