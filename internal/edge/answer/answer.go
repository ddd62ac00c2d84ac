// Package answer recognises bytes that a client reads as one HTTP answer although they are not: a target may break off an answer
// anywhere and go on with another one on the same connection, such as a late copy of the answer before it, or answer with a status or
// a header name that HTTP does not have. Nothing may be concluded from such bytes, not even that a request has not run. A Transport
// rejects such statuses and names for clients of net/http. A Conn keeps a part of an answer from looking complete.
package answer

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrNotOne means that bytes which were read as an answer are not one answer to the request.
var ErrNotOne = errors.New("not one answer to the request")

// versionPrefix begins each status line.
const versionPrefix = "HTTP/1."

// minStatus and maxStatus are the least and the greatest valid status code (RFC 9110, section 15). net/http reads 000 to 999.
const (
	minStatus = 100
	maxStatus = 599
)

// statusPattern matches the part of a status line that is in no value of a header otherwise. It includes statuses that HTTP does
// not have, since answers with them are broken off and repeated as others are.
var statusPattern = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// CheckStatus returns ErrNotOne if a status code is not a valid one.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrNotOne, status)
	}
	return nil
}

// CheckNames returns an error if the name of a header of an answer or a request is not a token. net/http accepts names that contain a
// space, and then ignores the framing of "Content-Length : 2".
func CheckNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("invalid header name %q", name)
		}
	}
	return nil
}

// CheckHead returns ErrNotOne if the head of an answer cannot be one head as its sender wrote it: it has no valid status, contains
// another status line or bytes that no head may contain, or has one of the given headers more than once.
func CheckHead(response *http.Response, single ...string) error {
	if err := CheckStatus(response.StatusCode); err != nil {
		return err
	}
	if err := CheckNames(response.Header); err != nil {
		return fmt.Errorf("%w: %w", ErrNotOne, err)
	}
	if err := checkText(response.Status); err != nil {
		return err
	}
	for _, values := range response.Header {
		for _, value := range values {
			if err := checkText(value); err != nil {
				return err
			}
		}
	}
	for _, name := range single {
		if n := len(response.Header.Values(name)); n > 1 {
			return fmt.Errorf("%w: %d headers %s", ErrNotOne, n, name)
		}
	}
	return nil
}

func checkText(text string) error {
	switch {
	case strings.Contains(text, versionPrefix) && statusPattern.MatchString(text):
		return fmt.Errorf("%w: status line in %q", ErrNotOne, text)
	case !httpguts.ValidHeaderFieldValue(text):
		return fmt.Errorf("%w: invalid bytes in %q", ErrNotOne, text)
	}
	return nil
}

const (
	// maxHeadBytes is the size of a head above which it is not read to its end.
	maxHeadBytes = 4 << 10

	// maxHeads is the number of status lines in a body above which no more are looked at.
	maxHeads = 64
)

// Following is what came after the body of an answer.
type Following struct {
	Bytes  []byte
	Closed bool // The server closed the connection after the bytes, although its answer does not say so.
}

// CheckBody returns ErrNotOne if a body may be part of several answers: another answer begins in it, or the bytes that followed
// it do not begin a new answer. A text about HTTP is told from an answer by its lack of headers with the given names, of which
// every answer has some, and by its end: if it may be the beginning of an answer, the connection must stay open without further
// bytes.
func CheckBody(body []byte, following Following, names ...string) error {
	rest := following.Bytes
	if len(rest) > 0 && !beginsAlike(rest, versionPrefix) {
		return fmt.Errorf("%w: bytes after its body begin no other one", ErrNotOne)
	}
	found := findHead(body, rest, names)
	if found == headOfAnswer || found == headDoubtful && (len(rest) > 0 || following.Closed) {
		return fmt.Errorf("%w: another one begins in its body", ErrNotOne)
	}
	return nil
}

// IsDoubtful reports whether a body may contain the beginning of another answer, which the bytes that follow the body decide.
func IsDoubtful(body []byte, names ...string) bool { return findHead(body, nil, names) == headDoubtful }

// beginsAlike reports whether one of the texts begins with the other.
func beginsAlike(data []byte, prefix string) bool {
	n := min(len(data), len(prefix))
	return string(data[:n]) == prefix[:n]
}

// headKind says what looks like the head of an answer in a body.
type headKind int

const (
	headNone     headKind = iota
	headDoubtful          // Its end is missing, or a header that only answers have.
	headOfAnswer
)

// findHead looks for the head of an answer that begins in a body and may continue in the bytes that follow it.
func findHead(body, rest []byte, names []string) headKind {
	tailStart := max(0, len(body)-maxHeadBytes)
	tail := body[tailStart:]
	if len(rest) > 0 {
		tail = bytes.Join([][]byte{tail, rest}, nil)
	}
	kind := findHeadIn(body, tailStart, names)
	return max(kind, findHeadIn(tail, len(body)-tailStart, names))
}

// findHeadIn looks for the head of an answer that begins in the first n bytes of data.
func findHeadIn(data []byte, n int, names []string) headKind {
	kind := headNone
	heads := 0
	for start := 0; start < n && heads < maxHeads; start += len(versionPrefix) {
		i := bytes.Index(data[start:], []byte(versionPrefix))
		if i < 0 || start+i >= n {
			break
		}
		start += i
		if found := classifyHead(data[start:min(len(data), start+maxHeadBytes)], names); found != headNone {
			heads++
			kind = max(kind, found)
		}
	}
	for i := max(0, len(data)-len(versionPrefix)+1); i < n; i++ {
		if beginsAlike(data[i:], versionPrefix) {
			kind = max(kind, headDoubtful)
		}
	}
	return kind
}

var lineEnd = []byte("\r\n")

// statusLength is the length of a status line without its reason, as in "HTTP/1.1 200".
const statusLength = 12

// beginsStatusLine reports whether data, which begins with versionPrefix, may be a status line or the beginning of one.
func beginsStatusLine(data []byte) bool {
	for i := len(versionPrefix); i < min(len(data), statusLength); i++ {
		first, last := byte('0'), byte('9')
		switch i {
		case len(versionPrefix):
			last = '1'
		case len(versionPrefix) + 1:
			first, last = ' ', ' '
		}
		if data[i] < first || data[i] > last {
			return false
		}
	}
	return true
}

// classifyHead classifies data that begins with versionPrefix.
func classifyHead(data []byte, names []string) headKind {
	if !beginsStatusLine(data) {
		return headNone
	}
	line, data, complete := bytes.Cut(data, lineEnd)
	if len(line) > statusLength && line[statusLength] != ' ' || complete && len(line) < statusLength {
		return headNone
	}
	for complete {
		line, data, complete = bytes.Cut(data, lineEnd)
		if len(line) == 0 && complete {
			return headDoubtful
		}
		name, _, hasColon := strings.Cut(string(line), ":")
		if hasColon && slices.ContainsFunc(names, func(known string) bool { return strings.EqualFold(name, known) }) {
			return headOfAnswer
		}
		if complete && (!hasColon || !httpguts.ValidHeaderFieldName(name)) {
			return headNone
		}
	}
	return headDoubtful
}
