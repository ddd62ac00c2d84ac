// Package steer defines the types and interfaces that the packages of monsoonhub, a global traffic steering system, share.
// Its main types are Config and Plan for configuration, Store and Catalog for the platform, Peers for other hosts, and
// Verdict and Refusal for the outcome of requests. It contains no implementations: they are below internal/ and in platform.
//
// See docs/design.md for the design and docs/glossary.md for the terms.
package steer
