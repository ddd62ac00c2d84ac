//go:build !cgo

package sigs

import (
	"os/signal"
	"syscall"
)

// Without cgo nothing runs before the Go runtime, so a SIGHUP ends the process until NewDaemon is called.
var ignoredAtStart = signal.Ignored(syscall.SIGHUP)

// hangupIgnored reports whether the process was started with SIGHUP ignored, as nohup does.
func hangupIgnored() bool { return ignoredAtStart }
