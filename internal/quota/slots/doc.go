// Package slots acquires, holds and releases the host slots of a data centre for one host, and reports until when the
// host may spend their quota. A Keeper drives a state machine with the outcome of store calls, the heartbeats of other
// members and their answers to slot-taken messages. Package lease spends, lends and borrows the quota.
package slots
