package files

import (
	"encoding/hex"
	"net/netip"
	"time"

	"monsoonhub.example/steer"
)

// Kinds of steering files.
const (
	kindFleet     = "fleet"
	kindCustomers = "customers"
	kindService   = "service"
	kindBlocks    = "blocks"
)

// Prefixes of the names of service parts and of client block parts.
const (
	servicePrefix = "service/"
	blocksPrefix  = "blocks/"
)

// Defaults of fields that a steering file leaves out. They are written into the part's body, so that a later release with
// different defaults does not change a published configuration.
const (
	defaultWeight     = 1.0
	defaultHostSlots  = 2
	defaultTimeout    = 10 * time.Second
	defaultQueueLimit = 200 * time.Millisecond
	defaultRamp       = 10 * time.Second
)

// fleetBody is the encoded content of the part fleet.
type fleetBody struct {
	DataCentres []dataCentre `cbor:"data-centres"`
	Links       []link       `cbor:"links"`
}

// dataCentre is an element of the list data-centres.
type dataCentre struct {
	Name   string  `cbor:"name"`
	Region string  `cbor:"region"`
	Weight float64 `cbor:"weight"` // Relative share of fleet-wide quotas, 0 to 1e6; default 1.
	Slots  int     `cbor:"slots"`  // Host slots, 1 to 1000; default 2.
	Down   bool    `cbor:"down"`   // The operator states that nothing runs there; default false.
}

// link is an element of the list links: the delay from one region to another and the rate of requests allowed
// between them.
type link struct {
	From  string        `cbor:"from"`
	To    string        `cbor:"to"`
	Delay time.Duration `cbor:"delay"` // One-way delay, 0 to 10 s; default 0.
	Rate  float64       `cbor:"rate"`  // Requests per second, 0 to 1e9; required; 0 allows no requests over the link.
	Burst float64       `cbor:"burst"` // Requests, 1 to 1e9; required unless the rate is 0.
}

// customersBody is the encoded content of the part customers.
type customersBody struct {
	Customers []customer `cbor:"customers"`
}

// customer is an element of the list customers.
type customer struct {
	Name         string        `cbor:"name"`
	Rate         float64       `cbor:"rate"`          // Requests per second, above 0 to 1e9; required.
	Burst        float64       `cbor:"burst"`         // Requests, 1 to 1e9; required.
	WhenIsolated time.Duration `cbor:"when-isolated"` // Grace period, 3 s to 24 h; default 0, the host's grace period.
	Keys         []key         `cbor:"keys"`
}

// key is an element of a customer's list keys.
type key struct {
	ID        string `cbor:"id"`
	Digest    string `cbor:"digest"`    // SHA-256 of the key, 64 lower-case hex digits; required.
	Withdrawn bool   `cbor:"withdrawn"` // Default false.
}

// serviceBody is the encoded content of a part service/<name>.
type serviceBody struct {
	Name         string        `cbor:"name"`
	Timeout      time.Duration `cbor:"timeout"`       // Maximum duration of a request, 10 ms to 10 min; default 10 s.
	QueueLimit   time.Duration `cbor:"queue-limit"`   // Maximum wait for capacity, 0 to timeout; default 200 ms.
	Ramp         time.Duration `cbor:"ramp"`          // Slow-start period, 0 to 1 h; default 10 s.
	WhenIsolated time.Duration `cbor:"when-isolated"` // Grace period, 3 s to 24 h; default 0, the host's grace period.
	Hedge        bool          `cbor:"hedge"`         // Default false.
	Routes       []route       `cbor:"routes"`
	Targets      []target      `cbor:"targets"`
	Shifts       []shift       `cbor:"shifts"`
}

// route is an element of a service's list routes.
type route struct {
	Methods    []string `cbor:"methods"`    // Upper-case HTTP methods; default all.
	Prefix     string   `cbor:"prefix"`     // Path below /s/<service>, starting with "/"; required.
	Open       bool     `cbor:"open"`       // Default false.
	Idempotent *bool    `cbor:"idempotent"` // Nil: depends on the method.
	Class      string   `cbor:"class"`      // normal or archive; default normal.
}

// target is an element of a service's list targets.
type target struct {
	ID         string `cbor:"id"`
	DataCentre string `cbor:"data-centre"`
	Address    string `cbor:"address"` // IP address and port; required.
	Slots      int    `cbor:"slots"`   // Maximum concurrent requests, 1 to 10000; required.
	Leaving    bool   `cbor:"leaving"` // Default false.
}

// shift is an element of a service's list shifts: a fraction of the requests to move from one region to another.
type shift struct {
	Name     string  `cbor:"name"`
	From     string  `cbor:"from"`
	To       string  `cbor:"to"`
	Fraction float64 `cbor:"part"`  // Fraction of the requests, above 0 to 1; required.
	Rate     float64 `cbor:"rate"`  // Cap in requests per second, above 0 to 1e9; required.
	Burst    float64 `cbor:"burst"` // Requests, 1 to 1e9; required.
}

func (b *fleetBody) config() steer.Fleet {
	var f steer.Fleet
	for _, d := range b.DataCentres {
		f.DataCentres = append(f.DataCentres, steer.DataCentre(d))
	}
	for _, l := range b.Links {
		f.Links = append(f.Links, steer.Link(l))
	}
	return f
}

func (c *customer) config() *steer.Customer {
	out := &steer.Customer{
		Name:         c.Name,
		Rate:         c.Rate,
		Burst:        c.Burst,
		WhenIsolated: c.WhenIsolated,
	}
	for _, k := range c.Keys {
		converted := steer.Key{
			ID:        k.ID,
			Withdrawn: k.Withdrawn,
		}
		// customersBody.check has validated the length and the digits.
		_, _ = hex.Decode(converted.Digest[:], []byte(k.Digest))
		out.Keys = append(out.Keys, converted)
	}
	return out
}

func (b *serviceBody) config() *steer.Service {
	out := &steer.Service{
		Name:         b.Name,
		Timeout:      b.Timeout,
		QueueLimit:   b.QueueLimit,
		Ramp:         b.Ramp,
		WhenIsolated: b.WhenIsolated,
		Hedge:        b.Hedge,
	}
	for _, r := range b.Routes {
		out.Routes = append(out.Routes, steer.Route{
			Methods:    r.Methods,
			Prefix:     r.Prefix,
			Open:       r.Open,
			Idempotent: r.Idempotent,
			Class:      steer.Class(r.Class),
		})
	}
	for _, t := range b.Targets {
		// checkTargets has validated the address.
		address, _ := netip.ParseAddrPort(t.Address)
		out.Targets = append(out.Targets, steer.Target{
			ID:         t.ID,
			DataCentre: t.DataCentre,
			Address:    address,
			Slots:      t.Slots,
			Leaving:    t.Leaving,
		})
	}
	for _, s := range b.Shifts {
		out.Shifts = append(out.Shifts, steer.Shift(s))
	}
	return out
}
