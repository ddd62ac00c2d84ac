// Package choose picks the target of a request among the targets of this host's data centre, and ejects targets that
// fail or are slow.
//
// A Picker draws two targets at random and compares their expected waits. This host's own in-flight count weighs most,
// the reported load, discounted by its age, less, and the health endpoints least. State is kept in atomics per target;
// only a change of state, such as an ejection or a new configuration, takes a lock. Package probe polls the reports.
package choose
