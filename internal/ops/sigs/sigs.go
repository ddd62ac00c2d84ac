package sigs

import (
	"context"
	"os"
	"os/signal"
	"syscall"
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

// Daemon takes over SIGHUP of a process that serves requests. It returns a channel that receives it. Signals that arrive while
// the channel is full are dropped.
func Daemon() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
