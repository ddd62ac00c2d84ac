package answer

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// errFoldedLine means that a line of a head begins with a blank. net/http joins it with the line before. It may as well be a field with
// a broken name, such as the length of the body, and a gateway may reject both (RFC 9112, section 5.2).
var errFoldedLine = fmt.Errorf("%w: folded line in its head", ErrNotOne)

// headLines looks for folded lines in the heads of an answer, whose bytes arrive in pieces. Informational heads and the final one
// belong to one answer. The zero value expects no head.
type headLines struct {
	expected bool               // Bytes belong to a head.
	status   [statusLength]byte // The beginning of the status line.
	line     int                // Number of the current line in its head.
	length   int                // Bytes of the current line so far.
	last     byte               // The last of them.
}

// firstFolded returns the position in the next bytes of a line that begins with a blank, or -1 if there is none.
func (h *headLines) firstFolded(data []byte) int {
	for rest := data; h.expected && len(rest) > 0; {
		if h.line > 0 && h.length == 0 && (rest[0] == ' ' || rest[0] == '\t') {
			return len(data) - len(rest)
		}
		var piece []byte
		var ended bool
		piece, rest, ended = bytes.Cut(rest, []byte("\n"))
		if h.line == 0 && h.length < len(h.status) {
			copy(h.status[h.length:], piece)
		}
		if h.length += len(piece); len(piece) > 0 {
			h.last = piece[len(piece)-1]
		}
		if ended {
			h.endLine()
		}
	}
	return -1
}

// endLine ends the current line, and the head if the line is empty. Another head follows an informational one.
func (h *headLines) endLine() {
	empty := h.length == 0 || h.length == 1 && h.last == '\r'
	h.length = 0
	h.line++
	if !empty {
		return
	}
	code := string(h.status[len(versionPrefix)+len("1 "):])
	*h = headLines{
		expected: code[0] == '1' && code != strconv.Itoa(http.StatusSwitchingProtocols),
	}
}
