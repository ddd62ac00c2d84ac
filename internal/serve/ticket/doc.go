// Package ticket issues and verifies signed tickets, with which a request is executed at most once. A Table issues the
// tickets of one process and keeps the results of executed requests until the tickets expire. Package relay executes the
// requests.
package ticket
