package manif_test

import (
	"bytes"
	"flag"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonhub.example/steer/internal/conf/manif"
)

// The fixed seed makes CI runs reproducible. The flag -rapid.seed selects another seed.
func init() { _ = flag.Set("rapid.seed", "1") }

func hash(text string) string { return manif.Hash([]byte(text)) }

// partChange returns the changes of a publication that sets one part to the hash of the text.
func partChange(name, text string) map[string]string {
	return map[string]string{
		name: hash(text),
	}
}

// chain returns a manifest after n publications, each of which changes one of five services.
func chain(n int) *manif.Manifest {
	m := &manif.Manifest{}
	for i := range n {
		m = m.Next(fmt.Sprintf("p%d", i), partChange(fmt.Sprintf("service/s%d", i%5), fmt.Sprint(i)))
	}
	return m
}

// Equal manifests must have equal bytes. Otherwise hosts would take one version for two different ones.
func TestEncodeDecode(t *testing.T) {
	m := chain(100)
	assert.Equal(t, len(m.Publications), manif.MaxPublications)
	data, err := m.Encode()
	assert.NilError(t, err)
	decoded, err := manif.Decode(data)
	assert.NilError(t, err)
	assert.Assert(t, m.Equal(decoded))
	reencoded, _ := decoded.Encode()
	assert.Assert(t, bytes.Equal(data, reencoded))
}

// A removed part must stay listed while it can conflict with a change, and be dropped afterwards, so that removed parts do
// not accumulate.
func TestRemovedPartIsForgotten(t *testing.T) {
	m := chain(3).Next("gone", map[string]string{
		"service/s0": "",
	})
	assert.Equal(t, m.Part("service/s0").Version, m.Version)
	assert.Equal(t, len(m.LiveParts()), 2)
	for i := range manif.MaxPublications {
		m = m.Next(fmt.Sprint("later-", i), partChange("fleet", fmt.Sprint(i)))
	}
	assert.Equal(t, m.Part("service/s0"), manif.Part{})
}

// Merging must keep a publication accepted on a restored copy of the store, and also the versions that the copy lacked.
func TestMergeKeepsBothSides(t *testing.T) {
	old := chain(5)
	ours := old.Next("ours-1", partChange("fleet", "f")).Next("ours-2", partChange("service/s1", "ours"))
	theirs := old.Next("theirs", partChange("customers", "withdrawn")).Next("clash", partChange("service/s1", "theirs"))
	assert.Assert(t, ours.Includes(old) && !old.Includes(ours))
	assert.Assert(t, !ours.Includes(theirs) && !theirs.Includes(ours))
	m, overridden := ours.Merge(theirs)
	assert.DeepEqual(t, overridden, []string{"service/s1"})
	assert.Equal(t, m.Version, uint64(8))
	assert.Equal(t, m.Part("fleet").Hash, hash("f"))
	assert.Equal(t, m.Part("customers").Hash, hash("withdrawn"))
	assert.Equal(t, m.Part("service/s1").Hash, hash("ours"))
	assert.Assert(t, m.Includes(ours) && m.Includes(theirs))
	_, err := m.Encode()
	assert.NilError(t, err)
	kept := ours.Supersede(theirs)
	assert.Assert(t, kept.Includes(ours) && kept.Includes(theirs))
	assert.Equal(t, kept.Part("customers"), manif.Part{})
}

// A merged manifest must include both sides, whatever was published on them.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := chain(rapid.IntRange(0, 70).Draw(t, "old"))
		grow := func(m *manif.Manifest, side string) *manif.Manifest {
			for i := range rapid.IntRange(1, 10).Draw(t, side) {
				name := rapid.SampledFrom([]string{"fleet", "service/s1", "service/s2"}).Draw(t, "part")
				m = m.Next(fmt.Sprint(side, i), partChange(name, fmt.Sprint(side, i)))
			}
			return m
		}
		a, b := grow(old, "a"), grow(old, "b")
		m, _ := a.Merge(b)
		assert.Assert(t, m.Includes(a) && m.Includes(b) && m.Includes(old))
		assert.Assert(t, m.Version > max(a.Version, b.Version))
		assert.Assert(t, slices.IsSortedFunc(m.Parts, func(p, q manif.Part) int { return bytes.Compare([]byte(p.Name), []byte(q.Name)) }))
		assert.Assert(t, a.MergesBefore(b) != b.MergesBefore(a))
		_, err := m.Encode()
		assert.NilError(t, err)
	})
}

// FuzzDecode guards against bytes from a peer or the store that crash a host, or that decode to a manifest that changes when
// it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, n := range []int{0, 1, 7, 70} {
		data, err := chain(n).Encode()
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := manif.Decode(data)
		if err != nil {
			return
		}
		first, err := m.Encode()
		assert.NilError(t, err)
		decoded, err := manif.Decode(first)
		assert.NilError(t, err)
		assert.Assert(t, decoded.Equal(m))
		_, _ = m.Merge(chain(3))
		_, err = m.Next("x", partChange("fleet", "x")).Encode()
		assert.Assert(t, err == nil || m.Version+1 == 0 || len(m.Parts) == manif.MaxParts)
	})
}

// FuzzMessages guards against peer messages that crash a host or that cannot be encoded again.
func FuzzMessages(f *testing.F) {
	for _, v := range []any{
		manif.Request{},
		manif.Request{
			Hash: hash("x"),
		},
		manif.Response{
			Body: []byte("x"),
		},
	} {
		data, err := manif.Marshal(v)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r manif.Request
		if manif.Unmarshal(data, &r) == nil {
			_, err := manif.Marshal(r)
			assert.NilError(t, err)
		}
		var a manif.Response
		if manif.Unmarshal(data, &a) == nil {
			reencoded, err := manif.Marshal(a)
			assert.NilError(t, err)
			assert.Assert(t, len(reencoded) <= len(data)+16)
		}
	})
}
