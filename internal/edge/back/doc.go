// Package back sends requests to targets over a Pool of connections and reports for each whether it may have run. It checks
// that an answer belongs to its request, and bounds the memory that answers take. It never retries a request: package pass
// decides on that.
package back
