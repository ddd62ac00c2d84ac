package gossip

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/share"
)

// useScale is the number of units on the wire for one request per second.
const useScale = 100

// message is what a host tells another.
type message struct {
	Host              string           `cbor:"host"`
	DataCentre        string           `cbor:"data-centre"`
	Hosts             int              `cbor:"hosts,omitempty"` // Not 0: Usage is that of so many hosts, all of the data centre.
	Names             []string         `cbor:"names,omitempty"` // Of the customers in Usage and in Centres.
	Usage             []uint32         `cbor:"use,omitempty"`
	Centres           []centre         `cbor:"centres,omitempty"`
	Leaving           bool             `cbor:"leaving,omitempty"`
	PlatformReachable bool             `cbor:"reaches,omitempty"` // Emptied and Cold are set.
	ReachableFor      int64            `cbor:"reached,omitempty"` // Milliseconds for which the sender has reached the platform.
	Emptied           []string         `cbor:"emptied,omitempty"`
	Cold              map[string]int64 `cbor:"cold,omitempty"`   // Milliseconds left by target.
	Notes             []note           `cbor:"notes,omitempty"`  // What hosts of the data centre saw.
	Passed            []note           `cbor:"passed,omitempty"` // What other data centres of the region told the sender.
	Entries           *entries         `cbor:"entries,omitempty"`
}

// note is a steer.TargetObservation.
type note struct {
	_        struct{} `cbor:",toarray"`
	Target   string
	Running  int
	Waiting  int
	Slots    int // 0 without a report.
	Answered int
	Failed   int
	Broke    bool
	Age      int64  // Milliseconds.
	By       string // ID of the host that saw it, in a message that speaks for several.
}

// centre is what another data centre told the sender.
type centre struct {
	DataCentre string   `cbor:"data-centre"`
	Hosts      int      `cbor:"hosts"`
	Usage      []uint32 `cbor:"use"` // As in the message.
	Age        int64    `cbor:"age"` // Milliseconds since it came.
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

const (
	// packFrom is the size in bytes from which a message is packed: sums of many customers and plans are.
	packFrom = 1 << 10

	// Formats of a message, its first byte.
	plain  = 0
	packed = 1
)

// packers keeps writers for reuse, each of which takes some hundred KB.
var packers = sync.Pool{
	New: func() any {
		w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		if err != nil {
			panic(err) // The level is a constant that is allowed.
		}
		return w
	},
}

func encode(m *message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	if len(data) < packFrom {
		return append([]byte{plain}, data...), nil
	}
	var buffer bytes.Buffer
	buffer.WriteByte(packed)
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&buffer)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("pack message: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack message: %w", err)
	}
	return buffer.Bytes(), nil
}

func decode(data []byte) (*message, error) {
	if len(data) == 0 {
		return nil, errors.New("message is empty")
	}
	format, data := data[0], data[1:]
	if format == packed {
		unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxMessage))
		if err != nil {
			return nil, fmt.Errorf("unpack message: %w", err)
		}
		data = unpacked
	} else if format != plain {
		return nil, fmt.Errorf("message has the unknown format %d", format)
	}
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	return &m, nil
}

// uses are the reports of one message. They share a list of customers, whose names would make up most of the message.
type uses struct {
	names   []string
	numbers map[string]int // By name.
}

func usesOf(reports ...share.Report) uses {
	u := uses{
		numbers: map[string]int{},
	}
	for _, r := range reports {
		for name := range r {
			if _, ok := u.numbers[name]; !ok {
				u.numbers[name] = 0
				u.names = append(u.names, name)
			}
		}
	}
	slices.Sort(u.names)
	for i, name := range u.names {
		u.numbers[name] = i
	}
	return u
}

// of returns a report as two numbers for each name: what was asked and what was admitted.
func (u uses) of(r share.Report) []uint32 {
	scaled := func(x float64) uint32 { return uint32(math.Max(0, math.Min(math.Round(x*useScale), math.MaxUint32))) }
	out := make([]uint32, 2*len(u.names))
	for name, use := range r {
		i := 2 * u.numbers[name]
		out[i], out[i+1] = scaled(use.Requested), scaled(use.Admitted)
	}
	return out
}

// report returns the report behind the numbers of a message.
func (m *message) report(numbers []uint32) share.Report {
	out := share.Report{}
	for i, name := range m.Names {
		if 2*i+1 >= len(numbers) {
			break
		}
		use := share.Usage{
			Requested: float64(numbers[2*i]) / useScale,
			Admitted:  float64(numbers[2*i+1]) / useScale,
		}
		if use != (share.Usage{}) {
			out[name] = use
		}
	}
	return out
}

func notesOf(list []steer.TargetObservation) []note {
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

func targetNotes(list []note) []steer.TargetObservation {
	out := make([]steer.TargetObservation, 0, len(list))
	for _, n := range list {
		out = append(out, steer.TargetObservation{
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
		ReachableFor: time.Duration(m.ReachableFor) * time.Millisecond,
		Emptied:      m.Emptied,
		Cold:         make(map[string]time.Duration, len(m.Cold)),
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
