// Package share keeps the requests of each customer within its quota across all hosts. It handles customers whose few
// requests are spread over many hosts, and a customer that sends many times its quota. A Table works on plain values:
// callers pass in the time, and exchange the reports between hosts (package gossip).
//
// Hosts report to each other how many requests of each customer were made and admitted. From the reports, each host computes
// the same balance: the requests that all hosts together may still admit beyond the rate of the quota. Each host admits the
// same fraction of its requests: all of them while the balance lasts, and from then on as many as keep the balance near zero.
// No host has tokens of its own, so a customer is not refused because its requests are spread thin.
//
// Peers that fall silent keep the share of the quota that they had, by demand, at their last report. Both sides of a network
// partition compute the same shares, so the requests that they admit together stay within the quota.
package share
