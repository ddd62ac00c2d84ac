// Package telem sets up the logs, metrics and traces of a process: NewLogger, MetricsHandler and NewTracer. AsyncWriter
// keeps log output from blocking requests. The packages that log and count define the messages, metrics and spans.
package telem
