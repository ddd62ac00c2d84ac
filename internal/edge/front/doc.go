// Package front serves callers over HTTP/1.1. A Server handles pipelined requests of one connection concurrently and answers
// them in order, and it cancels the requests of a caller that disconnects; net/http does neither. Package pass forwards the
// requests.
package front
