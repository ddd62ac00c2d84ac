//go:build cgo

package sigs

// #include "early.h"
import "C"

// hangupIgnored reports whether the process was started with SIGHUP ignored, as nohup does.
func hangupIgnored() bool { return C.monsoonhub_sighup_ignored() != 0 }
