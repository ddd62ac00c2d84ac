package files

import (
	"fmt"
	"strings"

	"monsoonhub.example/steer"
)

// Problem is one error in the steering files.
type Problem struct {
	File    string // Path of the file, or the name of the part if the part was not read from a file.
	Line    int    // Counted from 1; 0 if there is none.
	Column  int    // Counted from 1; 0 if there is none.
	Field   string // Path of the field, such as targets[2].address; empty if the problem does not concern a single field.
	Message string
}

// String returns "file:line: field: message". A missing line or field is left out.
func (p Problem) String() string {
	text := p.Message
	if p.Field != "" {
		text = p.Field + ": " + text
	}
	if p.Line == 0 {
		return p.File + ": " + text
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, text)
}

// Part is one part of the configuration.
type Part struct {
	Name   string // fleet, customers, service/<name> or blocks/<n>; see Parts for "blocks".
	Body   []byte // Deterministic CBOR, at most manif.MaxPartSize bytes; empty for a removal.
	Hash   string // SHA-256 of Body in hex; empty for a removal. Assemble computes it if it is missing.
	Remove bool   // Removes the part from the configuration.

	source *source // Nil if the part was not read from a file.
}

// Parts holds the parts of one directory, sorted by name. A part named "blocks" with Remove set removes all client blocks.
type Parts []Part

// InvalidError is the error of Assemble: a part is invalid, or the parts are inconsistent with each other.
type InvalidError struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Assemble decodes the parts, checks each of them and the references between them, and builds the configuration. The error
// is an *InvalidError.
func Assemble(version uint64, parts Parts) (*steer.Config, error) {
	return NewBuilder().Assemble(version, parts)
}
