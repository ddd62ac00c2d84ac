// Package target is a stand-in for the targets that requests are steered to, with faults on demand and a record of what
// ran.
package target
