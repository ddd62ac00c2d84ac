package links_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/peer/links"
)

func loose(t testing.TB) *links.Loose {
	t.Helper()
	c := one("own")
	c.Secret = []byte(secret)
	l, err := links.NewLoose(c)
	assert.NilError(t, err)
	l.Join("peer", "dc-0", "region-0")
	return l
}

// No bytes from a peer may crash a host, make a member look heard in the future, or forge this host.
func FuzzMessage(f *testing.F) {
	f.Add(links.Heartbeat(1))
	f.Add(links.Heartbeat(2, "other"))
	f.Add(links.Heartbeat(3, "own"))
	f.Add(links.Request(steer.KindBorrow, []byte{1}))
	f.Add(links.Request("", []byte{1, 2}))
	f.Add([]byte{links.FrameHeartbeat, 0x87, 0x1b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0, 0xf6, 0xf6, 0xf6, 0xf6})
	f.Fuzz(func(t *testing.T, data []byte) {
		l := loose(t)
		_ = links.Codec(data)
		if l.Take("peer", data) != nil {
			return
		}
		if _, err := l.Beat("peer"); err != nil {
			t.Fatal(err)
		}
		for _, m := range l.Members() {
			assert.Assert(t, !m.LastHeard.After(time.Now()))
			assert.Assert(t, m.State.EvidenceAge >= 0)
			assert.Assert(t, m.ID != "own" && m.ID != "")
		}
	})
}

// No prepared messages may pass the handshake without the secret, on either side.
func FuzzHandshake(f *testing.F) {
	hello := []byte{1, 0x84, 1, 0x86, 0x61, 'x', 0x61, 'd', 0x61, 'r', 1, 0x42, 0, 0, 0x42, 0, 0, 0x58, 32}
	hello = append(hello, make([]byte, 32)...)
	hello = append(hello, 1)
	proof := append([]byte{3, 0x82, 1, 0x58, 32}, make([]byte, 32)...)
	challenge := append([]byte{2, 0x82, 0x58, byte(len(hello))}, hello...)
	challenge = append(append(challenge, 0x58, 32), make([]byte, 32)...)
	f.Add(hello, proof)
	f.Add(challenge, []byte{4})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		l := loose(t)
		assert.Assert(t, !l.Shake(true, first, second))
		assert.Assert(t, !l.Shake(false, first, second))
	})
}
