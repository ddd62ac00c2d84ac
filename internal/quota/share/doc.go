// Package share keeps the requests of each customer within its quota across all hosts. It answers the load of customers whose
// few requests are spread over many hosts, and of one customer that sends many times its quota. It is pure: times are passed
// in.
//
// Hosts tell each other how many requests of each customer were asked for and admitted. From that each host reckons the same
// level, the requests that all hosts together may still admit beyond the rate of the quota, and admits the same part of its
// requests: all while the level lasts, and from then on as many as keep the level near zero. No host has tokens of its own,
// so a customer is not refused because its requests are spread thin.
//
// Hosts that are not heard keep a part of the quota: the one that they had, by demand, when they were last heard. Both sides
// of a cut reckon with the same parts, so what the sides admit together stays within the quota.
package share
