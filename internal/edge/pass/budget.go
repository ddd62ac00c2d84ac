package pass

import (
	"math"
	"sync"
)

const (
	// retryPart is the part of the repeated requests that requests allow which hosts use. All repeats of a window are paid for
	// by requests of that window or by what was saved up, so only requests that no target was found for are left to cover.
	retryPart = 0.95

	// savedPart is the part of the fixed number of repeats, allowed besides, that all hosts together may save up. The rest is
	// what started hosts begin with.
	savedPart = 0.7

	// wishWeight is the weight of one request in the part of requests that were to be repeated.
	wishWeight = 0.05

	// savedMost bounds what one host saves up: in a small fleet, several failures at once.
	savedMost = 8
)

// RetryBudgetConfig configures a RetryBudget.
type RetryBudgetConfig struct {
	Ratio float64    // Requests of a service sent again for each request, over all hosts and any window.
	Slack float64    // Requests sent again besides.
	Hosts func() int // Hosts that share the bound, this one included.
}

// RetryBudget bounds the requests that are sent again, for each service. The load that it answers is targets that refuse or fail a
// large part of all requests: each repeat that the fleet may make then serves a caller, those first that cannot come back.
type RetryBudget struct {
	config   RetryBudgetConfig
	mu       sync.Mutex
	accounts map[string]*account // By service.
}

type account struct {
	tokens float64
	wishes float64 // Part of the requests that were to be repeated lately.
}

// NewRetryBudget returns the budget of a started host.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{
		config:   c,
		accounts: map[string]*account{},
	}
}

// own is this host's part of the repeats that are allowed besides the ratio.
func (b *RetryBudget) own() float64 { return b.config.Slack / float64(max(b.config.Hosts(), 1)) }

// depth is the most repeats that this host saves up. One whole repeat can always be saved up.
func (b *RetryBudget) depth() float64 {
	return math.Max(1, math.Min(savedMost, savedPart*b.own()))
}

// Deposit counts a request.
func (b *RetryBudget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	depth := b.depth()
	a := b.accounts[service]
	if a == nil {
		a = &account{
			tokens: math.Min(depth, (1-savedPart)*b.own()),
		}
		b.accounts[service] = a
	}
	a.tokens = math.Min(depth, a.tokens+retryPart*b.config.Ratio)
	a.wishes -= wishWeight * a.wishes
}

// Withdraw takes one repeat, and reports whether there was one. While more is to be repeated than may be, a caller that can come back
// by itself leaves it to those that did.
func (b *RetryBudget) Withdraw(service string, canReturn bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[service]
	if a == nil {
		return false
	}
	a.wishes += wishWeight
	if a.tokens < 1 || canReturn && a.wishes > retryPart*b.config.Ratio {
		return false
	}
	a.tokens--
	return true
}
