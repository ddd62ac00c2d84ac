// Package keys authenticates callers by their keys against the configuration in force. A Checker finds the customer of a
// key, and refuses keyed requests on an isolated host, which has had no recent evidence that its configuration is the
// newest.
package keys
