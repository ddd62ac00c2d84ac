// Package cmds implements the command line of monsoonhub: the commands host and serve, which run a host, and check,
// publish, status, explain and demo for operators. Run executes one command line and returns its exit code. The work
// itself is done by the packages that the commands call, such as daemon, node, publ and demo.
package cmds
