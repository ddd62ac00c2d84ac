// Package follow keeps a host's configuration up to date. A Follower learns of new versions from the store and from peers,
// fetches their parts, applies them, and knows at what time the version in force was last confirmed to be the newest. It
// also restores a store that lost versions; package manif defines the manifest, and package publ publishes new versions.
package follow
