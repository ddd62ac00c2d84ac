// Package load sends look-ups or requests to a host or target on loopback, in an open or a closed loop, and records
// status and latency. Run takes a Config and returns a Report. It refuses all other addresses, so that no load leaves
// the machine.
package load
