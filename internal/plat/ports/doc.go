// Package ports gives tests listeners whose ports refuse connections once they are closed, and that nobody else gets meanwhile.
package ports
