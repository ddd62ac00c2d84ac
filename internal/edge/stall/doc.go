// Package stall keeps the responses that a process writes to callers and, when memory for responses is short, closes the connections
// of the callers that read them slowest. It knows neither requests nor protocols. While memory is available it closes nothing.
package stall
