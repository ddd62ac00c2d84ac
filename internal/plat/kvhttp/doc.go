// Package kvhttp carries steer.Store over HTTP: a client for hosts and a handler that serves any store.
package kvhttp
