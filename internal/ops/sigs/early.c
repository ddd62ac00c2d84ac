//go:build cgo

#include <signal.h>

#include "early.h"

static int hangup_ignored;

int monsoonhub_sighup_ignored(void) { return hangup_ignored; }

// Runs before the Go runtime, whose own handler of SIGHUP ends the process until Notify is called. The runtime leaves SIGRTMIN
// alone, whose default action ends the process too.
__attribute__((constructor)) static void ignore_early(void) {
	hangup_ignored = signal(SIGHUP, SIG_IGN) == SIG_IGN;
	signal(SIGRTMIN, SIG_IGN);
}
