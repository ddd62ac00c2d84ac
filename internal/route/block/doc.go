// Package block maps the address of a client to its nearest data centre, by longest prefix match over the client blocks of
// the configuration. A Table is one immutable map; Blocks holds the Table of the configuration in force.
package block
