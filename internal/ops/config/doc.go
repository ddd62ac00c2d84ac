// Package config reads and checks the settings file of one host. Load returns a Settings, or an error that joins one
// Problem for each fault of the file. Decode and Checker serve other settings formats; package setup uses them for hosts
// on the platform.
package config
