package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"monsoonhub.example/steer"
)

// Key identifies equal requests of one caller: those with the same method, host name, request target, customer and body. All
// hosts compute the same key. It is never 0.
type Key uint64

// String returns the key as it stands in logs.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// KeyOf returns the key of a request. The customer is nil for requests without an API key.
func KeyOf(method, host, target string, customer *steer.PlanCustomer, body []byte) Key {
	digest := sha256.New()
	fields := []string{method, host, target}
	if customer != nil {
		fields = append(fields, customer.Name)
	}
	for _, field := range fields {
		// The length keeps the ends of fields apart.
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // A hash never fails.
		_, _ = digest.Write([]byte(field))
	}
	_, _ = digest.Write(body)
	return Key(max(binary.BigEndian.Uint64(digest.Sum(nil)), 1))
}
