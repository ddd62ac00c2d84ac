// Package manif defines the Manifest, which lists the parts of a configuration version, and the messages with which hosts
// fetch manifests and parts from each other. It encodes, compares and merges manifests but neither stores nor sends them.
// Package files defines the content of the parts.
package manif
