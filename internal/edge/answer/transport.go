package answer

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that fails with ErrNotOne if an answer has an invalid status or header name, or switches to a
// protocol that the request did not ask for. It closes the connection of such an answer, which net/http would use again. Folded lines
// are found on connections of type *Conn.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn
			if own, ok := conn.(*Conn); ok {
				_ = own.ExpectHead(nil) // Fails for buffered bytes only.
			}
		},
	})
	response, err := t.Base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	err = CheckStatus(response.StatusCode)
	if invalid := CheckNames(response.Header); err == nil && invalid != nil {
		err = fmt.Errorf("%w: %w", ErrNotOne, invalid)
	}
	if err == nil && response.StatusCode == http.StatusSwitchingProtocols && r.Header.Get("Upgrade") == "" {
		err = fmt.Errorf("%w: it switches protocols", ErrNotOne)
	}
	if err == nil {
		return response, nil
	}
	if conn != nil { // Closed first, so that closing the body does not wait for the rest of it.
		_ = conn.Close()
	}
	_ = response.Body.Close()
	return nil, err
}

// CloseIdleConnections closes the idle connections of the base if it has such a method. http.Client calls it.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
