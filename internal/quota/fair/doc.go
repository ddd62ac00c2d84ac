// Package fair decides which request gets the next capacity unit. While units are scarce, Queue serves waiting requests
// by weighted max-min fairness between customers, and archive requests after all normal ones. It does not count the units
// of a quota: it takes them from a steer.Units, which package lease implements.
package fair
