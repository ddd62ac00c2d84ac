package steer

import (
	"net/netip"
	"time"
)

// Config is one version of the configuration in force. It is immutable: holders share it without copying.
type Config struct {
	Version   uint64
	Fleet     Fleet
	Customers map[string]*Customer // By name.
	Services  map[string]*Service  // By name.
	Blocks    []Block
}

// Fleet is the fleet steering file: regions, data centres and the links between regions.
type Fleet struct {
	DataCentres []DataCentre
	Links       []Link
}

// DataCentre is one data centre with its share of every fleet-wide quota.
type DataCentre struct {
	Name   string
	Region string
	Weight float64 // Share of fleet-wide quotas relative to the other data centres.
	Slots  int     // Number of host slots.
	Down   bool    // The operator states that nothing runs there; quota moves do not wait for it.
}

// Link is the one-way budget for requests from one region to another.
type Link struct {
	From  string
	To    string
	Delay time.Duration // One-way delay.
	Rate  float64       // Requests per second; 0 forbids crossing.
	Burst float64       // Requests.
}

// Customer is a tenant with its keys and its quota across the whole fleet.
type Customer struct {
	Name         string
	Rate         float64 // Requests per second.
	Burst        float64 // Requests.
	Keys         []Key
	WhenIsolated time.Duration // Grace for an isolated host; 0 selects the default.
}

// Key is one key of a customer. Only its digest is known.
type Key struct {
	ID        string
	Digest    [32]byte // SHA-256 of the key.
	Withdrawn bool
}

// Class is the priority class of a route.
type Class string

// Classes of routes.
const (
	ClassNormal  Class = "normal"
	ClassArchive Class = "archive" // Served after all normal requests.
)

// Service is one service steering file.
type Service struct {
	Name         string
	Timeout      time.Duration // Longest time for one request.
	QueueLimit   time.Duration // Longest wait for a capacity unit.
	Ramp         time.Duration // Slow start of a cold target.
	WhenIsolated time.Duration // Grace for an isolated host; 0 selects the default.
	Hedge        bool          // Whether idempotent requests may be hedged.
	Routes       []Route
	Targets      []Target
	Shifts       []Shift
}

// Route matches requests of a service by method and path prefix. The longest prefix wins.
type Route struct {
	Methods    []string // Empty matches all methods.
	Prefix     string
	Open       bool  // Served without a key.
	Idempotent *bool // Nil selects by method: GET, HEAD and OPTIONS are idempotent.
	Class      Class
}

// Target is one instance that serves requests.
type Target struct {
	ID         string
	DataCentre string
	Address    netip.AddrPort
	Slots      int  // Requests it works on at once.
	Leaving    bool // Gets no new work.
}

// Shift moves a part of a service's requests from one region to another under a cap.
type Shift struct {
	Name     string
	From     string
	To       string
	Fraction float64 // Fraction of the requests to move, 0 to 1.
	Rate     float64 // Cap in requests per second.
	Burst    float64 // Requests.
}

// Block maps a client address block to its nearest data centre.
type Block struct {
	Prefix     netip.Prefix
	DataCentre string
}
