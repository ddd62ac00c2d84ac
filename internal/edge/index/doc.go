// Package index finds the route and the customer of a request in one version of the plan. An Index is built from a valid
// plan only. Package belief decides which plan is in force.
package index
