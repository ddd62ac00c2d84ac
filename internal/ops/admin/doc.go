// Package admin serves the read-only operator API, the metrics and the health check of one host. Server reads the state
// from the components in its Config and changes nothing. Package cmds has the commands that query it.
package admin
