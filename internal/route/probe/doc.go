// Package probe polls the health and load endpoints of the targets in this host's data centre and keeps the last report
// of each. A Prober follows the configuration in force. Package choose decides what the reports mean for a target.
package probe
