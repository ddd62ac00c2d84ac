// Package files parses and checks steering files and builds a steer.Config from them.
//
// Steering files are YAML files below one directory. Each file has a kind: fleet, customers, service or blocks. Check turns
// the files into Parts, one for each file except that client blocks become several, and a Builder assembles parts into a
// configuration. The package neither publishes nor fetches parts. docs/steering.md lists every field with its unit, default
// and bounds.
package files
