package gossip

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/share"
)

// usageScale is the number of units on the wire for one request per second.
const usageScale = 100

// message is a message between hosts.
type message struct {
	Host              string             `cbor:"host"`
	DataCentre        string             `cbor:"data-centre"`
	HostCount         int                `cbor:"hosts,omitempty"` // If not 0, Usage is the sum of all hosts of the data centre.
	Customers         []string           `cbor:"names,omitempty"` // Names for Usage here and in RemoteDataCentres.
	Usage             []uint32           `cbor:"use,omitempty"`
	RemoteDataCentres []remoteDataCentre `cbor:"centres,omitempty"`
	Leaving           bool               `cbor:"leaving,omitempty"`
	PlatformReachable bool               `cbor:"reaches,omitempty"` // Emptied and Cold are set.
	ReachableFor      int64              `cbor:"reached,omitempty"` // Milliseconds, as in Hint.
	Emptied           []string           `cbor:"emptied,omitempty"`
	Cold              map[string]int64   `cbor:"cold,omitempty"`          // Remaining warm-up time in milliseconds, by target.
	Notes             []note             `cbor:"notes,omitempty"`         // Observations of hosts of the data centre.
	RemoteNotes       []note             `cbor:"passed,omitempty"`        // Observations of other data centres of the region, passed on.
	Limits            []limitNote        `cbor:"limits,omitempty"`        // Limits that hosts of the data centre saw.
	RemoteLimits      []limitNote        `cbor:"passed-limits,omitempty"` // Limits that other data centres sent, passed on.
	Speeds            []hostSpeeds       `cbor:"speeds,omitempty"`        // Speeds of targets that hosts of the data centre saw.
	RemoteSpeeds      []hostSpeeds       `cbor:"passed-speeds,omitempty"` // Those of other data centres of the region, passed on.
	Crashes           []crashNote        `cbor:"crashes,omitempty"`       // Crashes that the sender knows, whoever saw them.
	Load              *hostLoad          `cbor:"load,omitempty"`          // Of the sender. Older builds neither send nor read it.
	Admission         []admissionNote    `cbor:"admission,omitempty"`     // Reports of the sender on admission.
	AdmissionSum      []admissionNote    `cbor:"admission-sum,omitempty"` // Those of all hosts of the data centre together.
	EntryChanges      *entryChanges      `cbor:"entries,omitempty"`
	PeerAddress       string             `cbor:"peer-address,omitempty"` // Of the sender; empty if it is unknown.
	ListingFrom       string             `cbor:"listing-from,omitempty"` // Host that is asked for all entries.
}

// note is the encoding of a steer.TargetObservation.
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
	HostID   string // Host that made the note, in a message with notes of several hosts.
}

// limitNote is the encoding of a steer.LimitObservation.
type limitNote struct {
	_         struct{} `cbor:",toarray"`
	Target    string
	Limited   bool
	PerSecond float64
	Age       int64 // Milliseconds.
}

// crashNote is the encoding of a steer.CrashReport.
type crashNote struct {
	_        struct{} `cbor:",toarray"`
	Request  uint64
	Target   uint64
	Answered bool
	Age      int64 // Milliseconds.
}

// hostLoad is the encoding of a steer.HostLoad.
type hostLoad struct {
	Link       int `cbor:"link,omitempty"` // In units of 1/loadScale.
	CPU        int `cbor:"cpu,omitempty"`  // In units of 1/loadScale.
	ExtraHosts int `cbor:"extra,omitempty"`
}

// loadScale is the number of units on the wire for a link or processor that is in use all the time, and maxLoad bounds what is sent and
// accepted.
const (
	loadScale = 1000
	maxLoad   = 10 * loadScale
)

// remoteDataCentre is the report of another data centre that the sender passes on.
type remoteDataCentre struct {
	DataCentre string   `cbor:"data-centre"`
	HostCount  int      `cbor:"hosts"`
	Usage      []uint32 `cbor:"use"`             // In the order of Customers in the message.
	Age        int64    `cbor:"age"`             // Milliseconds since the sender received it.
	ExtraHosts *int     `cbor:"extra,omitempty"` // As in hostLoad; nil if it is unknown.
}

// entryChanges is the encoding of steer.Changes.
type entryChanges struct {
	From    uint64     `cbor:"from"`
	To      uint64     `cbor:"to"`
	Era     uint64     `cbor:"era,omitempty"`
	Listing bool       `cbor:"listing,omitempty"`
	Fields  int        `cbor:"fields,omitempty"` // entryFields of the sender; 0 if the entries may lack fields.
	Facts   []wireFact `cbor:"facts,omitempty"`
}

// entryFields is raised when entries get new fields. A host of an older build drops these from the entries that it passes on.
const entryFields = 1

// wireFact is a steer.Fact whose problem is encoded as text.
type wireFact struct {
	Fact    steer.Fact `cbor:"fact"`
	Problem string     `cbor:"problem,omitempty"`
}

const (
	// minCompressSize is the size in bytes from which a message is compressed. Sums of many customers and plans reach it.
	minCompressSize = 1 << 10

	// Formats of a message. The first byte of a message is its format.
	formatPlain   = 0
	formatDeflate = 1
)

// flateWriters keeps writers for reuse, because each takes some hundred KB.
var flateWriters = sync.Pool{
	New: func() any {
		w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		if err != nil {
			panic(err) // Only an invalid level fails.
		}
		return w
	},
}

// encode returns the format byte of a message and its CBOR encoding, compressed from minCompressSize on.
func encode(m *message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	if len(data) < minCompressSize {
		return append([]byte{formatPlain}, data...), nil
	}
	var buffer bytes.Buffer
	buffer.WriteByte(formatDeflate)
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&buffer)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress message: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress message: %w", err)
	}
	return buffer.Bytes(), nil
}

// decode is the reverse of encode. It cuts decompressed data at maxMessageSize.
func decode(data []byte) (*message, error) {
	if len(data) == 0 {
		return nil, errors.New("message is empty")
	}
	format, data := data[0], data[1:]
	if format == formatDeflate {
		decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxMessageSize))
		if err != nil {
			return nil, fmt.Errorf("decompress message: %w", err)
		}
		data = decompressed
	} else if format != formatPlain {
		return nil, fmt.Errorf("unknown message format %d", format)
	}
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	return &m, nil
}

// usageEncoder encodes the reports of one message. The reports share a list of customers, because names repeated in each would
// make up most of the message.
type usageEncoder struct {
	customers []string
	indexes   map[string]int // Index in customers, by name.
}

func newUsageEncoder(reports ...share.Report) usageEncoder {
	u := usageEncoder{
		indexes: map[string]int{},
	}
	for _, r := range reports {
		for name := range r {
			if _, ok := u.indexes[name]; !ok {
				u.indexes[name] = 0
				u.customers = append(u.customers, name)
			}
		}
	}
	slices.Sort(u.customers)
	for i, name := range u.customers {
		u.indexes[name] = i
	}
	return u
}

// encode returns a report as two numbers for each customer: the rates of requests asked for and admitted.
func (u usageEncoder) encode(r share.Report) []uint32 {
	scaled := func(x float64) uint32 { return uint32(math.Max(0, math.Min(math.Round(x*usageScale), math.MaxUint32))) }
	out := make([]uint32, 2*len(u.customers))
	for name, usage := range r {
		i := 2 * u.indexes[name]
		out[i], out[i+1] = scaled(usage.Requested), scaled(usage.Admitted)
	}
	return out
}

// report decodes a report from the numbers of a message.
func (m *message) report(encoded []uint32) share.Report {
	out := share.Report{}
	for i, name := range m.Customers {
		if 2*i+1 >= len(encoded) {
			break
		}
		usage := share.Usage{
			Requested: float64(encoded[2*i]) / usageScale,
			Admitted:  float64(encoded[2*i+1]) / usageScale,
		}
		if usage != (share.Usage{}) {
			out[name] = usage
		}
	}
	return out
}

func toWireNotes(list []steer.TargetObservation) []note {
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

func fromWireNotes(list []note) []steer.TargetObservation {
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

func toWireLimits(list []steer.LimitObservation) []limitNote {
	out := make([]limitNote, 0, len(list))
	for _, o := range list {
		out = append(out, limitNote{
			Target:    o.Target,
			Limited:   o.Limit.Limited,
			PerSecond: o.Limit.PerSecond,
			Age:       o.Age.Milliseconds(),
		})
	}
	return out
}

// fromWireLimits decodes limits, without those that no target can have named.
func fromWireLimits(list []limitNote) []steer.LimitObservation {
	out := make([]steer.LimitObservation, 0, len(list))
	for _, n := range list {
		if !(n.PerSecond >= 0) || math.IsInf(n.PerSecond, 1) || n.Age < 0 {
			continue
		}
		out = append(out, steer.LimitObservation{
			Target: n.Target,
			Limit: steer.TargetLimit{
				Limited:   n.Limited,
				PerSecond: n.PerSecond,
			},
			Age: time.Duration(n.Age) * time.Millisecond,
		})
	}
	return out
}

func toWireCrashes(list []steer.CrashReport) []crashNote {
	out := make([]crashNote, 0, len(list))
	for _, c := range list {
		out = append(out, crashNote{
			Request:  c.Request,
			Target:   c.Target,
			Answered: c.Answered,
			Age:      c.Age.Milliseconds(),
		})
	}
	return out
}

func fromWireCrashes(list []crashNote) []steer.CrashReport {
	out := make([]steer.CrashReport, 0, len(list))
	for _, n := range list {
		out = append(out, steer.CrashReport{
			Request:  n.Request,
			Target:   n.Target,
			Answered: n.Answered,
			Age:      time.Duration(n.Age) * time.Millisecond,
		})
	}
	return out
}

func toWireLoad(l steer.HostLoad) *hostLoad {
	scaled := func(x float64) int { return int(math.Round(min(max(x*loadScale, 0), maxLoad))) }
	return &hostLoad{
		Link:       scaled(l.Link),
		CPU:        scaled(l.CPU),
		ExtraHosts: l.ExtraHosts,
	}
}

func (l *hostLoad) toLoad() steer.HostLoad {
	share := func(n int) float64 { return float64(min(max(n, 0), maxLoad)) / loadScale }
	return steer.HostLoad{
		Link:       share(l.Link),
		CPU:        share(l.CPU),
		ExtraHosts: l.ExtraHosts,
	}
}

// addressText returns an address as text, empty if it is not valid.
func addressText(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

func coldMillis(cold map[string]time.Duration) map[string]int64 {
	out := make(map[string]int64, len(cold))
	for id, left := range cold {
		out[id] = left.Milliseconds()
	}
	return out
}

// hint returns the hint in a message.
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

func toWireChanges(c steer.Changes) *entryChanges {
	e := &entryChanges{
		From:    c.From,
		To:      c.To.Revision,
		Era:     c.To.Era,
		Listing: c.Listing,
	}
	if !c.Partial {
		e.Fields = entryFields
	}
	for _, f := range c.Facts {
		w := wireFact{
			Fact: f,
		}
		if f.Problem != nil {
			w.Problem, w.Fact.Problem = f.Problem.Error(), nil
		}
		e.Facts = append(e.Facts, w)
	}
	return e
}

func (e *entryChanges) toChanges() steer.Changes {
	c := steer.Changes{
		From: e.From,
		To: steer.Position{
			Era:      e.Era,
			Revision: e.To,
		},
		Listing: e.Listing,
		Partial: e.Fields < entryFields,
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
