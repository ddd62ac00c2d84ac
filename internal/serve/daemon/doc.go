// Package daemon assembles an entry host from its parts: listeners, peer links, configuration, quotas, routing and request
// handling. A Host starts the parts in the order of their dependencies and stops them without interrupting requests.
package daemon
