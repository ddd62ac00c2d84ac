// Package conns bounds the connections of a process by its descriptors and its memory. A Budget counts the connections of callers
// and to targets, and closes those that have been idle for longest when there are too many, so that new ones need not wait. It
// knows neither requests nor protocols: the owner of a connection says when it is idle.
package conns
