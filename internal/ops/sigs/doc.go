// Package sigs decides what the signals of a process do. A signal whose default action ends the process must never have that
// action while requests are in progress, so signals are taken over before the Go runtime starts and not given back before
// the process has ended:
//
//   - SIGTERM and SIGINT stop the process. Later ones have no effect.
//   - SIGHUP makes a daemon load its settings, and stops a tool.
//   - SIGQUIT and SIGABRT write the stacks of all goroutines and stop a daemon.
//   - SIGPIPE and the signals of job control have no effect on a daemon: it goes on without a reader of its logs or a terminal.
//
// The Go runtime ignores the other signals, except those that report a fault of the program itself.
package sigs
