package steer

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// ErrCompacted means that the platform no longer has the changes after the revision asked for.
var ErrCompacted = errors.New("history of the platform is gone")

// Kind says how often a request of a route may run.
type Kind string

// Kinds of routes.
const (
	KindSafe   Kind = "safe"   // May run more than once.
	KindUnsafe Kind = "unsafe" // Runs at most once for each request of a caller.
	KindLarge  Kind = "large"  // May run more than once; its answers are long.
)

// Idempotent reports whether a request may run more than once.
func (k Kind) Idempotent() bool { return k == KindSafe || k == KindLarge }

// Plan is one version of the routing configuration on the platform. It is immutable.
type Plan struct {
	Version   uint64
	Routes    []PlanRoute
	Services  map[string]PlanService // By name.
	Customers []PlanCustomer         // Empty when requests need no key.
	Limits    RequestLimits
}

// PlanRoute sends the requests of a host name and path prefix to targets of services.
type PlanRoute struct {
	Name             string
	Host             string
	Prefix           string // Begins and ends with a slash. The longest prefix wins.
	Kind             Kind
	Timeout          time.Duration     // Longest time that a caller is kept waiting; 0 means no limit.
	Objective        time.Duration     // Time within which an answer is in time.
	MaxAttempts      int               `cbor:"Attempts"` // Most targets that one request may be sent to.
	Priority         int               // 0 is the most urgent.
	Open             bool              // Served without a key.
	Affinity         bool              // Targets answer faster for objects that they have handled.
	Regions          []string          // Regions in which requests may run; empty allows all.
	WeightedServices []WeightedService `cbor:"Parts"` // One entry for a route that is not split.
}

// WeightedService is the part of a route's requests that one service gets.
type WeightedService struct {
	Service string
	Weight  float64 // Relative to the other parts of the route.
}

// PlanService holds what targets of a service have in common.
type PlanService struct {
	Name           string
	MaxConnections int           // Of one target, from all hosts together.
	Warmup         time.Duration // Time for which a started target is cold.
	WarmupRate     float64       // Requests per second that a cold target tolerates, from all hosts together.
}

// PlanCustomer is a customer with its keys and its quota across all hosts.
type PlanCustomer struct {
	Name     string
	Keys     []string
	Priority *int     // Replaces the priority of the route; nil keeps it.
	Rate     float64  // Requests per second; 0 means no limit.
	Burst    float64  // Requests.
	Regions  []string // Regions in which requests may run; empty allows all.
}

// RequestLimits bounds what a caller may send and how long it may take.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // From the first byte of a request to its last.
	IdleTimeout   time.Duration // Without a request on a connection.
}

// Endpoint is a target as it is registered on the platform.
type Endpoint struct {
	ID          string
	Service     string
	Address     netip.AddrPort
	DataCentre  string
	Slots       int           // Requests it works on at once.
	Draining    bool          // Gets no new work.
	WarmupLeft  time.Duration // Time for which it stays cold, counted from the registration.
	StartMillis int64         `cbor:"Born"` // Unix time of its start in milliseconds; 0 when not told.
}

// TargetLoad is what a target reports of itself.
type TargetLoad struct {
	Running int // Requests that it works on.
	Waiting int // Requests in its queue.
	Slots   int // Requests that it can work on at once.
}

// TargetObservation is what hosts saw of a target in a short time.
type TargetObservation struct {
	Target   string        // ID.
	Load     TargetLoad    // As last reported; Slots is 0 without a report.
	Answered int           // Requests that it answered.
	Failed   int           // Requests that it failed or did not answer.
	Broke    bool          // Among these was one without a connection or with one that ended: it may have started anew.
	Age      time.Duration // Of the report.
}

// HostEntry is a host as it is registered on the platform.
type HostEntry struct {
	ID          string         `json:"id"`
	DataCentre  string         `json:"data-centre"`
	Region      string         `json:"region"`
	Incarnation uint64         `json:"incarnation"` // Unix time of the start in nanoseconds.
	Address     netip.AddrPort `json:"address"`     // Listener for callers.
	PeerAddress netip.AddrPort `json:"peer-address"`
}

// Fact is one entry of the platform. At most one of the pointers is set, and none for an entry that was removed, that
// has a Problem or that means nothing to a host.
type Fact struct {
	Key      string
	Revision uint64 // Revision of the last write. It rises across all keys.
	Removed  bool
	Plan     *Plan
	Endpoint *Endpoint
	Host     *HostEntry
	Emptied  string // Data centre whose targets get no requests; empty for other entries.
	Problem  error  // The entry cannot be read.
}

// Changes are the changes of entries between two revisions.
type Changes struct {
	From  uint64 // Revision after which they came.
	To    uint64 // Revision from which to continue.
	Facts []Fact
}

// Catalog is the part of the platform that hosts read: the plan, the targets, data centres to be emptied, other hosts.
// Every call counts towards the limits of the platform. Calls fail with ErrDown when it is not reachable, and writes
// with ErrUnknown when the answer was lost.
type Catalog interface {
	// List returns all entries, and a revision from which Changes continues.
	List(ctx context.Context) ([]Fact, uint64, error)
	// Changes returns what has changed after a revision, and the revision from which to continue. It returns no facts
	// after wait. It fails with ErrCompacted.
	Changes(ctx context.Context, after uint64, wait time.Duration) ([]Fact, uint64, error)
	// Snapshot returns the bytes that SaveSnapshot last wrote, perhaps not those of the last seconds, and nil without any.
	Snapshot(ctx context.Context) ([]byte, error)
	// SaveSnapshot replaces the snapshot.
	SaveSnapshot(ctx context.Context, data []byte) error
	// Grant starts a lease.
	Grant(ctx context.Context, term time.Duration) (LeaseID, error)
	// Renew restarts the term of a lease. It fails with ErrLeaseLost.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its entries. It fails with ErrLeaseLost.
	Revoke(ctx context.Context, lease LeaseID) error
	// Announce registers a host until its lease ends. It fails with ErrLeaseLost.
	Announce(ctx context.Context, host HostEntry, lease LeaseID) error
}

// HeaderNames are the names of the headers that hosts read and set. A platform defines them.
type HeaderNames struct {
	RequestID         string // Identifies one request of a caller; targets echo it.
	Deadline          string // Milliseconds for which the sender still waits.
	Affinity          string // Object that the request is about.
	Key               string // Key of the customer; never sent to targets.
	Customer          string // Name of the customer, set by hosts.
	ExpectedTarget    string // ID of the target that the request is meant for.
	Signature         string // Set by targets on their own answers.
	NotRun            string // Set by a target that refused the request.
	Load              string // Running and waiting requests and slots of a target, separated by commas.
	TargetID          string // ID of the target that answers.
	RetryAfter        string // Seconds, with fractions, after which a refused caller may return.
	MisdirectedStatus int    // Status of a target that is not the expected one and has not run the request.
}
