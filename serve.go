package steer

import (
	"context"
	"time"
)

// Source provides the configuration in force on this host.
type Source interface {
	// Current returns the configuration in force, or nil before the first one.
	Current() *Config
	// Changed returns a channel that is closed when a newer configuration than Current comes into force.
	Changed() <-chan struct{}
	// EvidenceAge returns the age of the most recent evidence that Current is the newest accepted version.
	EvidenceAge(now time.Time) time.Duration
}

// Authenticator checks keys against the configuration in force. It fails with a *Refusal whose verdict is NotRun.
type Authenticator interface {
	// Authenticate returns the customer that the key belongs to, for a request to a route of the service that requires a key.
	Authenticate(now time.Time, config *Config, service *Service, key string) (*Customer, error)
}

// QuotaName names a fleet-wide quota, for example "customer/alfa" or "work/reservas/golfo-1".
type QuotaName string

// CustomerQuota returns the name of the quota for the rate and burst of a customer.
func CustomerQuota(customer string) QuotaName { return QuotaName("customer/" + customer) }

// WorkQuota returns the name of the quota for the concurrent work of a service in a data centre.
func WorkQuota(service, dataCentre string) QuotaName {
	return QuotaName("work/" + service + "/" + dataCentre)
}

// LinkQuota returns the name of the quota for requests from one region to another.
func LinkQuota(from, to string) QuotaName { return QuotaName("link/" + from + "/" + to) }

// ShiftQuota returns the name of the quota that caps a shift of a service.
func ShiftQuota(service, shift string) QuotaName { return QuotaName("shift/" + service + "/" + shift) }

// Limiter takes tokens from this host's share of fleet-wide rate quotas.
type Limiter interface {
	// Take takes one token. It may wait briefly to borrow from a peer. It fails with a *Refusal whose verdict is NotRun.
	Take(ctx context.Context, name QuotaName) error
	// TryTake takes one token without waiting, and reports whether there was one.
	TryTake(now time.Time, name QuotaName) bool
}

// Units hands out units of this host's share of fleet-wide concurrency quotas.
type Units interface {
	// TryAcquire takes one unit for work that ends by the deadline. If ok, release must be called exactly once.
	TryAcquire(now time.Time, name QuotaName, deadline time.Time) (release func(), ok bool)
	// Freed returns a channel that is closed when a unit may have become free by other means than release.
	Freed() <-chan struct{}
}

// Work describes a request that needs a capacity unit.
type Work struct {
	Quota    QuotaName
	Customer string  // Empty for open routes.
	Weight   float64 // Share of the customer relative to others when capacity is short.
	Class    Class
	Deadline time.Time
	Wait     time.Duration // Maximum wait for a unit.
}

// Capacity hands out capacity units to requests, fairly between customers.
type Capacity interface {
	// Acquire waits for a unit. On success, release must be called exactly once. It fails with a *Refusal whose verdict is
	// NotRun.
	Acquire(ctx context.Context, work Work) (release func(), err error)
}

// Outcome is the result of a request that was sent to a target.
type Outcome struct {
	Verdict  Verdict
	Latency  time.Duration // Time until the header of the answer arrived.
	Failed   bool          // There was no answer, or an answer that shows the target to be unhealthy.
	Shed     bool          // The target refused for lack of capacity.
	Draining bool          // The target announced that it is draining.
}

// Choice is a chosen target. Done must be called exactly once, with the result of the request.
type Choice struct {
	Target Target
	Done   func(Outcome)
}

// Chooser chooses among the targets of the own data centre.
type Chooser interface {
	// Choose picks a target that is not in tried. It fails with a *Refusal whose verdict is NotRun.
	Choose(now time.Time, service string, tried []string) (Choice, error)
	// Await is like Choose, but while all targets are at their in-flight limit it waits for one, until the context ends.
	Await(ctx context.Context, service string, tried []string) (Choice, error)
	// Ready returns the number of targets of the service that can take new requests.
	Ready(now time.Time, service string) int
	// Retry takes one retry from the service's retry budget and reports whether there was one.
	Retry(service string) bool
}

// Report is the last health and load report of a target.
type Report struct {
	Draining bool
	Healthy  bool
	Busy     int       // Slots in use plus queued requests.
	Slots    int       // As reported; 0 when unknown.
	At       time.Time // When the health check was sent; zero without a report.
}

// Reports provides the last reports of targets.
type Reports interface {
	// Report returns the last report of a target, or the zero Report if there is none.
	Report(target string) Report
}
