package steer

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// ErrCompacted means that the platform no longer holds the changes after the requested revision.
var ErrCompacted = errors.New("platform history no longer reaches back to the requested revision")

// Kind is the kind of a route. It determines how often a request of the route may run.
type Kind string

// Kinds of routes.
const (
	KindSafe   Kind = "safe"   // May run more than once.
	KindUnsafe Kind = "unsafe" // Runs at most once per request of a caller.
	KindLarge  Kind = "large"  // May run more than once; its answers are large.
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

// PlanRoute maps the requests of a host name and path prefix to services.
type PlanRoute struct {
	Name             string
	Host             string
	Prefix           string // Begins and ends with a slash. The longest prefix wins.
	Kind             Kind
	Timeout          time.Duration     // Maximum time that a caller waits for an answer; 0 means no limit.
	Objective        time.Duration     // Latency objective: an answer within this time is on time.
	MaxAttempts      int               `cbor:"Attempts"` // Maximum number of targets that one request may be sent to.
	Priority         int               // 0 is the most urgent.
	Open             bool              // Served without a key.
	Affinity         bool              // Targets answer faster for objects that they have handled.
	Regions          []string          // Regions in which requests may run; empty allows all.
	WeightedServices []WeightedService `cbor:"Parts"` // A route that is not split has one entry.
}

// WeightedService is a service of a route and its share of the route's requests.
type WeightedService struct {
	Service string
	Weight  float64 // Share relative to the other services of the route.
}

// PlanService holds the settings that all targets of a service have in common.
type PlanService struct {
	Name           string
	MaxConnections int           // Maximum connections to one target, from all hosts together.
	Warmup         time.Duration // Time after its start for which a target is cold.
	WarmupRate     float64       // Requests per second that a cold target can take, from all hosts together.
}

// PlanCustomer is a customer with its keys and its fleet-wide quota.
type PlanCustomer struct {
	Name     string
	Keys     []string
	Priority *int     // Overrides the priority of the route; nil keeps it.
	Rate     float64  // Requests per second; 0 means no limit.
	Burst    float64  // Requests.
	Regions  []string // Regions in which requests may run; empty allows all.
}

// RequestLimits bounds the size and the duration of what a caller sends.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // Maximum time from the first byte of a request to its last.
	IdleTimeout   time.Duration // Maximum time without a request on a connection.
}

// Endpoint is the registration of a target on the platform.
type Endpoint struct {
	ID          string
	Service     string
	Address     netip.AddrPort
	DataCentre  string
	Slots       int           // Requests that it processes concurrently.
	Draining    bool          // Receives no new requests.
	WarmupLeft  time.Duration // Remaining time, from the registration on, for which the target is cold.
	StartMillis int64         `cbor:"Born"` // Unix time of its start in milliseconds; 0 when unknown.
}

// TargetLoad is the load that a target reports.
type TargetLoad struct {
	Running int // Requests in progress.
	Waiting int // Queued requests.
	Slots   int // Requests that it can process concurrently.

	// WorkFactor is the time that work takes at the target at this moment, relative to the usual time. It changes several times a
	// second, as targets share their machines with others. 0 means that the target does not report it.
	WorkFactor float64
}

// TargetLimit says how many requests a target takes.
type TargetLimit struct {
	Limited   bool    // Whether the target limits its requests.
	PerSecond float64 // Requests per second that it takes from all hosts together; 0 unless Limited.
}

// TargetObservation summarises the results of a target's requests, as seen by a host over a short interval.
type TargetObservation struct {
	Target   string        // ID.
	Load     TargetLoad    // Last reported load; Slots is 0 without a report.
	Answered int           // Requests that it answered.
	Failed   int           // Requests that failed or got no answer.
	Broke    bool          // At least one request had no connection or lost it: the target may have restarted.
	Age      time.Duration // Age of the report.
}

// LimitObservation is the limit of a target that a host saw in an answer.
type LimitObservation struct {
	Target string // ID.
	Limit  TargetLimit
	Age    time.Duration // Time since the answer arrived.
}

// SpeedObservation holds results of requests to a target, as a host saw them. They are samples and not an estimate, so that hosts can
// combine what several of them saw.
type SpeedObservation struct {
	Target  string // ID.
	Samples []SpeedSample
}

// SpeedSample is the result of one request, relative to what is usual for requests of its class.
type SpeedSample struct {
	Ratio       float64       // Work relative to the usual work of the class at the targets of the service.
	LoadPerSlot float64       // Requests at the target when it was sent, for each slot of the target.
	Uncertain   bool          // The target may not have known the object, which takes longer.
	Age         time.Duration // Time since the request was sent.
}

// CrashReport says that a target closed its connection without an answer to a request, or that a target answered the request.
type CrashReport struct {
	Request  uint64        // Key of the request, the same on all hosts.
	Target   uint64        // Key of the target's process, the same on all hosts; 0 with Answered.
	Answered bool          // A target answered the request.
	Age      time.Duration // Time since it happened.
}

// HostEntry is the registration of a host on the platform.
type HostEntry struct {
	ID          string         `json:"id"`
	DataCentre  string         `json:"data-centre"`
	Region      string         `json:"region"`
	Incarnation uint64         `json:"incarnation"` // Unix time of the start in nanoseconds.
	Address     netip.AddrPort `json:"address"`     // Listener for callers.
	PeerAddress netip.AddrPort `json:"peer-address"`
	LinkMbps    float64        `json:"link-mbps,omitempty"` // Bandwidth of its link in Mbit/s; 0 if it is unknown.
	CPUCores    float64        `json:"cpu-cores,omitempty"` // Processor cores that it may use; 0 if that is unknown.
	Leaving     bool           `json:"leaving,omitempty"`   // It is stopping, and the directory no longer names it.
}

// HostLoad is the load that a host reports to other hosts.
type HostLoad struct {
	Link       float64 // Share of its link in use; 0 if its bandwidth is unknown.
	CPU        float64 // Share of its processor cores in use; 0 if their number is unknown.
	ExtraHosts int     // Narrow hosts that its directory names for its data centre because of the load; negative if it must not be followed.
}

// Fact is one decoded entry of the platform's store. At most one of the pointers is set, and none if the entry was removed,
// has a Problem or is of no use to hosts.
type Fact struct {
	Key      string
	Revision uint64 // Revision of the last write. Revisions increase across all keys.
	Removed  bool
	Plan     *Plan
	Endpoint *Endpoint
	Host     *HostEntry
	Emptied  string // Data centre whose targets must receive no requests; empty for other entries.
	Rejected uint64 // Key of a request that hosts reject, as in CrashReport; 0 for other entries.
	Problem  error  // Why the entry could not be decoded.
}

// Position is a point in the history of the platform's store. When the store returns from an older copy of its content, a new
// era begins: revisions go back to that of the copy and are given out again, so revisions of two eras cannot be compared.
type Position struct {
	Era      uint64 // 0 if the platform does not tell it.
	Revision uint64
}

// Changes holds the entries that changed between two positions of one era, or a whole listing.
type Changes struct {
	From    uint64   // Revision after which the changes start.
	To      Position // Position from which the next changes continue.
	Listing bool     // Facts holds all entries, whatever the revision before.
	Partial bool     // Entries may lack fields that this build knows, since they came through a host of an older build.
	Facts   []Fact
}

// Catalog gives hosts access to the platform: the plan, the targets, the data centres to be emptied and the other hosts.
// Every call counts towards the rate limits of the platform. Calls fail with ErrDown if the platform is not reachable, and
// writes fail with ErrUnknown if the answer was lost.
type Catalog interface {
	// List returns all entries and the position from which Changes continues.
	List(ctx context.Context) ([]Fact, Position, error)
	// Changes returns the entries that changed after a position, and the position from which to continue. It waits for
	// changes, and returns none when wait has passed. It fails with ErrCompacted. If the position that it returns is of
	// another era, the entries are not all that have changed.
	Changes(ctx context.Context, after Position, wait time.Duration) ([]Fact, Position, error)
	// Snapshot returns the bytes that SaveSnapshot last wrote, or nil if there are none. They may be some seconds out of date.
	Snapshot(ctx context.Context) ([]byte, error)
	// SaveSnapshot replaces the snapshot.
	SaveSnapshot(ctx context.Context, data []byte) error
	// Grant creates a lease with the given term.
	Grant(ctx context.Context, term time.Duration) (Lease, error)
	// Renew restarts the term of a lease. It fails with ErrLeaseLost.
	Renew(ctx context.Context, lease Lease) error
	// Revoke ends a lease and removes its entries. It fails with ErrLeaseLost.
	Revoke(ctx context.Context, lease Lease) error
	// Announce registers a host until its lease ends. It fails with ErrLeaseLost.
	Announce(ctx context.Context, host HostEntry, lease Lease) error
	// Reject registers a request, by its key, that hosts reject until the lease ends. It fails with ErrLeaseLost.
	Reject(ctx context.Context, request uint64, lease Lease) error
}

// Lease is a lease of the platform's store. It is lost when its era ends: a store that returns from an older copy may not know
// it, or may grant its ID again.
type Lease struct {
	ID  LeaseID
	Era uint64 // As in Position.
}

// HeaderNames holds the names of the headers that hosts read and set. The platform defines them.
type HeaderNames struct {
	RequestID         string // Identifies one request of a caller; targets echo it.
	Deadline          string // Remaining time, in milliseconds, for which the sender waits.
	Affinity          string // Identifies the object that the request concerns.
	Key               string // Key of the customer; never forwarded to targets.
	Customer          string // Name of the customer, set by hosts.
	ExpectedTarget    string // ID of the target that the request is intended for.
	Signature         string // Set by targets on the answers that they produce.
	NotRun            string // Set by a target that refused the request without running it.
	Load              string // Running requests, waiting requests, slots and optionally the work factor of a target in percent, separated by commas.
	Limit             string // Requests per second that a target takes from all hosts together; absent without a limit.
	TargetID          string // ID of the target that answered.
	RetryAfter        string // Seconds, possibly fractional, after which a refused caller may retry.
	MisdirectedStatus int    // Status code of a target that is not the expected one and has not run the request.
}
