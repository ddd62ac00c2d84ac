package gossip

import (
	"math"
	"slices"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/admit"
)

// admissionLife is the time for which the report of a host counts in the sum of its data centre.
const admissionLife = 2 * time.Second

// customerRounds is the number of rounds between two sums that name customers, whose demand changes slowly.
const customerRounds = 4

// customerFields is the number of values for each customer in admissionNote.Customers.
const customerFields = 4

// admissionNote is the encoding of a steer.AdmissionReport. Rates are in hundredths of a request per second.
type admissionNote struct {
	Service   string   `cbor:"service"`
	Region    string   `cbor:"region"`
	Samples   uint32   `cbor:"samples"` // Hundredths.
	Sum       uint32   `cbor:"sum"`     // Hundredths.
	Arriving  uint32   `cbor:"arriving"`
	Placed    uint32   `cbor:"placed"`
	Demand    []uint32 `cbor:"demand,omitempty"`
	Late      []uint32 `cbor:"late,omitempty"`
	Admitted  []uint32 `cbor:"admitted,omitempty"`
	Customers []uint32 `cbor:"customers,omitempty"` // For each: id, priority, demand and admitted.
}

// admissionTable holds the last reports of the hosts of the data centre, by host.
type admissionTable map[string]admissionReport

type admissionReport struct {
	reports    []steer.AdmissionReport
	receivedAt time.Time
	namedAt    time.Time // When the host last named customers.
}

// add replaces the reports of a host. A host names customers in some reports only; they count until it names them again.
func (t admissionTable) add(now time.Time, host string, reports []steer.AdmissionReport) {
	old := t[host]
	added := admissionReport{
		reports:    slices.Clone(reports),
		receivedAt: now,
		namedAt:    old.namedAt,
	}
	for i := range added.reports {
		r := &added.reports[i]
		if len(r.Customers) > 0 {
			added.namedAt = now
			continue
		}
		same := slices.IndexFunc(old.reports, func(o steer.AdmissionReport) bool {
			return o.Service == r.Service && o.Region == r.Region
		})
		if same >= 0 && now.Sub(old.namedAt) <= admissionLife {
			r.Customers = old.reports[same].Customers
		}
	}
	t[host] = added
}

// sum returns the reports of all hosts together, without those that are too old.
func (t admissionTable) sum(now time.Time, withCustomers bool) []steer.AdmissionReport {
	lists := make([][]steer.AdmissionReport, 0, len(t))
	for host, r := range t {
		if now.Sub(r.receivedAt) > admissionLife {
			delete(t, host)
			continue
		}
		lists = append(lists, r.reports)
	}
	sums := admit.Combine(lists...)
	if !withCustomers {
		for i := range sums {
			sums[i].Customers = nil
		}
	}
	return sums
}

// handleAdmission passes on the reports of a message of this data centre. A message without a sum is of a host that is no leader,
// of an older build, or sent while there is no shortage.
func (g *Gossiper) handleAdmission(now time.Time, m *message) {
	reports := fromWireAdmission(m.Admission)
	g.config.OnAdmission(now, m.Host, reports)
	if len(m.AdmissionSum) > 0 {
		g.config.OnAdmission(now, DataCentrePeerID(m.DataCentre), fromWireAdmission(m.AdmissionSum))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.add(now, m.Host, reports)
}

func toWireAdmission(list []steer.AdmissionReport) []admissionNote {
	out := make([]admissionNote, 0, len(list))
	for _, r := range list {
		n := admissionNote{
			Service:  r.Service,
			Region:   r.Region,
			Samples:  scaled(r.Samples),
			Sum:      scaled(r.Sum),
			Arriving: scaled(r.Arriving),
			Placed:   scaled(r.Placed),
			Demand:   scaledList(r.Demand),
			Late:     scaledList(r.Late),
			Admitted: scaledList(r.Admitted),
		}
		for _, c := range r.Customers {
			n.Customers = append(n.Customers, c.ID, uint32(c.Priority), scaled(c.Demand), scaled(c.Admitted))
		}
		out = append(out, n)
	}
	return out
}

func fromWireAdmission(list []admissionNote) []steer.AdmissionReport {
	out := make([]steer.AdmissionReport, 0, len(list))
	for _, n := range list {
		r := steer.AdmissionReport{
			Service:  n.Service,
			Region:   n.Region,
			Samples:  unscaled(n.Samples),
			Sum:      unscaled(n.Sum),
			Arriving: unscaled(n.Arriving),
			Placed:   unscaled(n.Placed),
			Demand:   unscaledList(n.Demand),
			Late:     unscaledList(n.Late),
			Admitted: unscaledList(n.Admitted),
		}
		for c := n.Customers; len(c) >= customerFields; c = c[customerFields:] {
			r.Customers = append(r.Customers, steer.CustomerDemand{
				ID:       c[0],
				Priority: int(c[1]),
				Demand:   unscaled(c[2]),
				Admitted: unscaled(c[3]),
			})
		}
		out = append(out, r)
	}
	return out
}

// scaled returns a number in hundredths.
func scaled(x float64) uint32 {
	return uint32(math.Max(0, math.Min(math.Round(x*usageScale), math.MaxUint32)))
}

func unscaled(x uint32) float64 { return float64(x) / usageScale }

func scaledList(list []float64) []uint32 {
	out := make([]uint32, 0, len(list))
	for _, x := range list {
		out = append(out, scaled(x))
	}
	return out
}

func unscaledList(list []uint32) []float64 {
	out := make([]float64, 0, len(list))
	for _, x := range list {
		out = append(out, unscaled(x))
	}
	return out
}
