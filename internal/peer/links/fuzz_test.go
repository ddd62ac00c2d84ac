package links_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/peer/links"
)

// newOfflineMesh returns the mesh of host own with a link to host peer.
func newOfflineMesh(t testing.TB) *links.OfflineMesh {
	t.Helper()
	c := hostConfig("own")
	c.Secret = []byte(secret)
	l, err := links.NewOfflineMesh(c)
	assert.NilError(t, err)
	l.AddLink("peer", "dc-0", "region-0")
	return l
}

// Guards against bytes from a peer that crash a host, set LastHeard of a member in the future, or add a member with the id
// of this host.
func FuzzMessage(f *testing.F) {
	f.Add(links.EncodeHeartbeat(1))
	f.Add(links.EncodeHeartbeat(2, "other"))
	f.Add(links.EncodeHeartbeat(3, "own"))
	f.Add(links.EncodeRequest(steer.KindBorrow, []byte{1}))
	f.Add(links.EncodeRequest("", []byte{1, 2}))
	f.Add([]byte{links.FrameHeartbeat, 0x87, 0x1b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0, 0xf6, 0xf6, 0xf6, 0xf6})
	f.Fuzz(func(t *testing.T, data []byte) {
		l := newOfflineMesh(t)
		_ = links.DecodeFrame(data)
		if l.HandleHeartbeat("peer", data) != nil {
			return
		}
		if _, err := l.Heartbeat("peer"); err != nil {
			t.Fatal(err)
		}
		for _, m := range l.Members() {
			assert.Assert(t, !m.LastHeard.After(time.Now()))
			assert.Assert(t, m.State.EvidenceAge >= 0)
			assert.Assert(t, m.ID != "own" && m.ID != "")
		}
	})
}

// Guards against prepared messages that complete either side of the handshake without the fleet secret.
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
		l := newOfflineMesh(t)
		assert.Assert(t, !l.Handshake(true, first, second))
		assert.Assert(t, !l.Handshake(false, first, second))
	})
}
