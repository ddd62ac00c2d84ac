// Package node runs one host on the platform. A Node connects the parts of a host, serves callers, the directory, readiness,
// peers and metrics, and shuts down without cutting requests. The parts themselves are in other packages: for example, pass
// handles requests and place chooses targets.
package node
