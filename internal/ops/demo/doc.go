// Package demo runs a whole fleet with stand-ins in one process, sends load through its listeners and checks the
// promises of docs/design.md, section 1, against the targets' records.
package demo
