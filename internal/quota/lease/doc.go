// Package lease keeps one token bucket or unit pool for each quota on this host. It derives the host's share from the
// configuration, the host's slots and the versions that the data centres have confirmed, and lends and borrows shares
// between hosts. Manager is its main type. The arithmetic of buckets and loans is in package bucket.
package lease
