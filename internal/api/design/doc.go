// Package design describes the typed HTTP APIs in the goa design language.
//
// The generated code is committed in ../gen. Run "go generate ./internal/api/..." after a change; CI fails when the
// generated code is out of date. The pass-through request path is not described here: it takes any method and path,
// which a typed endpoint cannot.
package design

//go:generate go tool goa gen monsoonhub.example/steer/internal/api/design -o ..
