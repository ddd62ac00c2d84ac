// Package kvmem is an in-memory stand-in for the platform's key-value service, with faults that tests and the demo
// switch on.
package kvmem
