// Package admit decides at arrival whether a request is served while there is not enough capacity, before a target is chosen.
// A Controller works on plain values: callers pass in the time and the outcomes (package pass), and exchange its reports
// between hosts (package gossip).
//
// The state is kept by pool: a service and the region in which its requests run. Every request is admitted until the placer
// refuses a large fraction of them for lack of capacity, which means that others are refused in any case. Then so many are
// admitted that the placer still refuses that fraction and no capacity is left unused, the most urgent first. Late answers alone
// do not refuse anything. Within a priority, requests that can still be answered in time go before others, and customers share
// what is admitted by max-min fairness. The admission level is the fraction of the requests that is refused.
package admit
