// Package setup reads and validates the settings file of a host on the platform. Its main type is Settings. Reading and
// decoding of files in general is in package config.
package setup
