// Package lookup answers look-ups of callers with the entry hosts to use, best first.
//
// A Finder computes the order of hosts for each data centre from the member table and caches it for a short time, so that
// a look-up costs one longest prefix match, a random rotation and the encoding of at most four hosts. Package block does
// the prefix match.
package lookup
