package sigs

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

const (
	// maxStackBytes bounds the stacks that are written, in bytes.
	maxStackBytes = 1 << 20

	// minDumpInterval is the minimum time between two dumps of the stacks, each of which stops all goroutines.
	minDumpInterval = time.Second
)

// WithStop returns a context that ends with the first SIGTERM or SIGINT.
func WithStop(ctx context.Context) context.Context {
	return withSignals(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// WithHangup returns a context that ends with SIGHUP, which a tool gets when its terminal closes.
func WithHangup(ctx context.Context) context.Context {
	if hangupIgnored() {
		return ctx
	}
	return withSignals(ctx, syscall.SIGHUP)
}

// withSignals returns a context that ends with the first of the signals. They are never given back to their default action:
// a later signal would end the process at once.
func withSignals(ctx context.Context, list ...os.Signal) context.Context {
	ctx, _ = signal.NotifyContext(ctx, list...)
	return ctx
}

// Daemon takes over the signals of a process that serves requests. It returns a context that also ends with SIGQUIT or
// SIGABRT, which write the stacks of all goroutines to w, and a channel that receives SIGHUP. Signals that arrive while the
// channel is full are dropped.
func Daemon(ctx context.Context, w io.Writer) (context.Context, <-chan os.Signal) {
	signal.Ignore(syscall.SIGPIPE, syscall.SIGTSTP, syscall.SIGTTIN, syscall.SIGTTOU)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	aborts := make(chan os.Signal, 1)
	signal.Notify(aborts, syscall.SIGQUIT, syscall.SIGABRT)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for range aborts {
			cancel()
			stacks := make([]byte, maxStackBytes)
			_, _ = w.Write(stacks[:runtime.Stack(stacks, true)]) // There is nowhere to report an error.
			time.Sleep(minDumpInterval)
		}
	}()
	return ctx, hangups
}
