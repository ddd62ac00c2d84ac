package steer

import (
	"net/netip"
	"time"
)

// Config is one version of the configuration. It is immutable, so it can be shared without copying.
type Config struct {
	Version   uint64
	Fleet     Fleet
	Customers map[string]*Customer // By name.
	Services  map[string]*Service  // By name.
	Blocks    []Block
}

// Fleet is the content of the fleet steering file: data centres with their regions, and the links between regions.
type Fleet struct {
	DataCentres []DataCentre
	Links       []Link
}

// DataCentre describes a data centre and its share of every fleet-wide quota.
type DataCentre struct {
	Name   string
	Region string
	Weight float64 // Weight of its share of fleet-wide quotas, relative to the other data centres.
	Slots  int     // Number of host slots.
	Down   bool    // The operator declares that nothing runs there, so quota is moved without waiting for its hosts.
}

// Link is the budget for requests from one region to another, in one direction.
type Link struct {
	From  string
	To    string
	Delay time.Duration // One-way delay.
	Rate  float64       // Requests per second; 0 forbids requests over the link.
	Burst float64       // Requests.
}

// Customer is a tenant with its keys and its fleet-wide quota.
type Customer struct {
	Name         string
	Rate         float64 // Requests per second.
	Burst        float64 // Requests.
	Keys         []Key
	WhenIsolated time.Duration // Maximum age of a host's evidence at which it still accepts keys; 0 selects the default.
}

// Key is a key of a customer. Only its digest is stored.
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

// Service is the content of one service steering file.
type Service struct {
	Name         string
	Timeout      time.Duration // Maximum duration of one request.
	QueueLimit   time.Duration // Maximum wait for a capacity unit.
	Ramp         time.Duration // Duration of the slow start of a cold target.
	WhenIsolated time.Duration // Maximum age of a host's evidence at which it still accepts keys; 0 selects the default.
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
	Idempotent *bool // Nil derives it from the method: GET, HEAD and OPTIONS are idempotent.
	Class      Class
}

// Target is an instance that serves requests.
type Target struct {
	ID         string
	DataCentre string
	Address    netip.AddrPort
	Slots      int  // Requests that it processes concurrently.
	Leaving    bool // Receives no new requests.
}

// Shift moves a fraction of a service's requests from one region to another, up to a maximum rate.
type Shift struct {
	Name     string
	From     string
	To       string
	Fraction float64 // Fraction of the requests to move, 0 to 1.
	Rate     float64 // Maximum rate in requests per second.
	Burst    float64 // Requests.
}

// Block maps a block of client addresses to the nearest data centre.
type Block struct {
	Prefix     netip.Prefix
	DataCentre string
}
