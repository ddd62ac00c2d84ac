// Package admit decides at arrival whether a request is served while there is not enough capacity, before a target is chosen.
// A Controller works on plain values: callers pass in the time and the outcomes (package pass), and exchange its reports
// between hosts (package gossip).
//
// The state is kept by pool: a service and the region in which its requests run. The pressure of a pool is the mean of what
// recent requests found: the load per slot of their target, a refusal, or a late answer. While the pressure shows that slots
// are free, every request is admitted. Otherwise about as many are admitted as targets answer, the most urgent first. Within a
// priority, requests that can still be answered in time go before others, and customers share what is admitted by max-min
// fairness. The admission level is the fraction of the requests that is refused.
package admit
