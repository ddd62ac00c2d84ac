// Package publ publishes a directory of steering files. Publish checks the files, merges them with the manifest in the store
// relative to a base record in the directory, and replaces the manifest by compare-and-swap; its Result says whether the
// change was accepted. Hosts pick the new version up with package follow, and package manif defines the manifest.
package publ
