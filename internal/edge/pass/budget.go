package pass

import (
	"math"
	"sync"
)

const (
	// usedRatioFraction is the fraction of the configured ratio that hosts use. Every retry in a window is paid for by requests
	// of that window or by saved tokens, so the rest only has to cover requests for which no target was found.
	usedRatioFraction = 0.95

	// savedSlackFraction is the fraction of the configured slack that all hosts together may save up. Started hosts begin with
	// the rest.
	savedSlackFraction = 0.7

	// demandWeight is the weight of one request in the moving average of the retry demand.
	demandWeight = 0.05

	// maxTokens bounds the tokens that one host saves up. In a small fleet they cover several failures at once.
	maxTokens = 8
)

// RetryBudgetConfig configures a RetryBudget.
type RetryBudgetConfig struct {
	Ratio float64    // Retries allowed per request of a service, over all hosts and any window.
	Slack float64    // Retries allowed in addition to those of Ratio.
	Hosts func() int // Number of hosts that share the budget, including this one.
}

// RetryBudget bounds the retries of requests, separately for each service. It is designed for targets that refuse or fail a
// large fraction of all requests: the fleet should then use every allowed retry to serve a caller, and first those callers that
// cannot retry by themselves.
type RetryBudget struct {
	config  RetryBudgetConfig
	mu      sync.Mutex
	buckets map[string]*tokenBucket // By service.
}

// tokenBucket is the budget of one service.
type tokenBucket struct {
	tokens float64
	demand float64 // Exponential moving average of the fraction of requests that needed a retry.
}

// NewRetryBudget returns the retry budget of a newly started host.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{
		config:  c,
		buckets: map[string]*tokenBucket{},
	}
}

// hostSlack returns this host's share of the retries that are allowed in addition to the ratio.
func (b *RetryBudget) hostSlack() float64 { return b.config.Slack / float64(max(b.config.Hosts(), 1)) }

// capacity returns the maximum number of tokens that this host saves up. It is at least one, so that one whole retry can
// always be saved up.
func (b *RetryBudget) capacity() float64 {
	return math.Max(1, math.Min(maxTokens, savedSlackFraction*b.hostSlack()))
}

// Deposit counts a request to a service and adds the tokens that it pays for.
func (b *RetryBudget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	capacity := b.capacity()
	t := b.buckets[service]
	if t == nil {
		t = &tokenBucket{
			tokens: math.Min(capacity, (1-savedSlackFraction)*b.hostSlack()),
		}
		b.buckets[service] = t
	}
	t.tokens = math.Min(capacity, t.tokens+usedRatioFraction*b.config.Ratio)
	t.demand -= demandWeight * t.demand
}

// Withdraw takes the token for one retry and reports whether there was one. While the demand exceeds the ratio, it denies
// retries to requests whose callers can retry by themselves, and so leaves them to callers that did.
func (b *RetryBudget) Withdraw(service string, callerCanRetry bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.buckets[service]
	if t == nil {
		return false
	}
	t.demand += demandWeight
	if t.tokens < 1 || callerCanRetry && t.demand > usedRatioFraction*b.config.Ratio {
		return false
	}
	t.tokens--
	return true
}
