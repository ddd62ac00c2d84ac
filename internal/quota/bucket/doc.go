// Package bucket does the arithmetic of one host's share of one quota. Rate is a token bucket whose share is changed by
// loans between hosts, Units does the same for concurrent work, and Demand estimates the request rate. The package is
// pure: the caller passes in the time, and messages between hosts are left to package lease.
package bucket
