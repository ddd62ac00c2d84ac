package relay

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Names of the system's own headers, in canonical form.
const (
	headerKey       = "Steering-Key"
	headerTicket    = "Steering-Ticket"
	headerDeadline  = "Steering-Deadline-Ms" // Remaining time in milliseconds.
	headerCustomer  = "Steering-Customer"
	headerRequestID = "Steering-Request-Id"
	headerVerdict   = "Steering-Verdict"
	headerReason    = "Steering-Reason"    // Only on refusals.
	headerRepeatOf  = "Steering-Repeat-Of" // ID of the request that ran. Only on stored responses for a ticket.
	headerDraining  = "Steering-Draining"

	headerForwardFrom  = "Steering-Forward-From"
	headerForwardKind  = "Steering-Forward-Kind"
	headerForwardTime  = "Steering-Forward-Time-Ms" // Send time as Unix time in milliseconds.
	headerForwardNonce = "Steering-Forward-Nonce"
	headerForwardMAC   = "Steering-Forward-Mac"
)

// systemPrefix is the lower-case prefix of the names of all headers of the system.
const systemPrefix = "steering-"

// isSystemHeader reports whether a header belongs to the system. Some servers treat an underscore as a hyphen, so names with
// underscores also match.
func isSystemHeader(name string) bool {
	if len(name) < len(systemPrefix) {
		return false
	}
	head := strings.ReplaceAll(name[:len(systemPrefix)], "_", "-")
	return strings.EqualFold(head, systemPrefix)
}

// isHopByHop reports whether a header applies to a single connection only (RFC 9110, section 7.6.1). Expect is included
// because the server of the caller listener handles it.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}

// copyHeader copies the headers that may be forwarded from one connection to another. It omits headers that are
// hop-by-hop, listed in Connection, or of the system, and those that contain the secret. If the secret is empty, no header
// is omitted because of it.
func copyHeader(to, from http.Header, secret string) {
	listed := from["Connection"]
	for name, values := range from {
		if isSystemHeader(name) || isHopByHop(name) || isConnectionOption(listed, name) || containsSecret(values, secret) {
			continue
		}
		to[name] = values
	}
}

func isConnectionOption(connection []string, name string) bool {
	for _, line := range connection {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(textproto.TrimString(token), name) {
				return true
			}
		}
	}
	return false
}

func containsSecret(values []string, secret string) bool {
	if len(secret) < minKeySize {
		return false
	}
	for _, v := range values {
		if strings.Contains(v, secret) {
			return true
		}
	}
	return false
}

// trailerNames returns a header with the names of the trailers that may be forwarded, without values. It returns nil if
// there are none.
func trailerNames(from http.Header) http.Header {
	var to http.Header
	for name := range from {
		if isSystemHeader(name) || isHopByHop(name) {
			continue
		}
		if to == nil {
			to = make(http.Header, len(from))
		}
		to[name] = nil
	}
	return to
}

// fillTrailer sets the values of the announced trailers, except those that contain the secret. The body must have been
// read.
func fillTrailer(to, from http.Header, secret string) {
	for name := range to {
		if values := from[name]; !containsSecret(values, secret) {
			to[name] = values
		}
	}
}
