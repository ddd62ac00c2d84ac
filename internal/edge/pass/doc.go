// Package pass forwards requests from callers to targets: it matches the route, checks the API key and the quota, picks a
// target and returns the response. Handler also decides which requests are retried, within a RetryBudget, and tells the
// caller of every request that no target answered whether it may have run. Package front serves the callers' connections,
// package place chooses the targets and package back talks to them.
package pass
