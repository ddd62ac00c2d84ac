package manif

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Key is the store key of the manifest.
const Key = "manifest"

// Limits of a manifest and its parts.
const (
	MaxPublications = 64      // Publications kept in a manifest.
	MaxPartSize     = 900_000 // Bytes of a part's body.
	MaxParts        = 5000    // Parts of a manifest; keeps its encoding below the maximum size of a store value.
)

// ErrInvalid is wrapped by every error of Decode and by the errors of Encode for manifests that break the rules.
var ErrInvalid = errors.New("invalid manifest")

// Publication is an accepted publication.
type Publication struct {
	ID      string `cbor:"id"`      // 1 to 64 letters, digits and hyphens.
	Version uint64 `cbor:"version"` // Version in which it took effect.
}

// Part is one part of the configuration. A removed part stays listed while the publication that removed it does, so that a
// publisher whose change conflicts with the removal can name it.
type Part struct {
	Name    string `cbor:"name"`
	Hash    string `cbor:"hash"`    // SHA-256 of the body in hex; empty if the part is removed.
	Version uint64 `cbor:"version"` // Version of the last change.
}

// Manifest lists the parts of one version.
type Manifest struct {
	Version      uint64        `cbor:"version"`
	Publications []Publication `cbor:"publications"` // Oldest first, in order of their versions.
	Parts        []Part        `cbor:"parts"`        // Sorted by name, each name once.
}

// Request asks a peer for its manifest, or for the body of the part with the hash.
type Request struct {
	Hash string `cbor:"hash,omitempty"` // Empty in a request for the manifest.
}

// Response carries an encoded manifest or the body of a part.
type Response struct {
	Body []byte `cbor:"body"` // Empty if the peer does not have it.
}

var (
	encMode = mustMode(cbor.CoreDetEncOptions().EncMode())
	decMode = mustMode(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   8,
		MaxArrayElements:  1 << 20,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode())

	idPattern   = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	partPattern = regexp.MustCompile(
		`^(fleet|customers|service/[a-z0-9][a-z0-9-]{0,62}|blocks/[1-9][0-9]{0,18})$`)
)

// mustMode panics if the options above are invalid. They are constant, so only a change of this file can cause that.
func mustMode[M any](m M, err error) M {
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes a value as deterministic CBOR (RFC 8949, section 4.2).
func Marshal(v any) ([]byte, error) {
	return encMode.Marshal(v)
}

// Unmarshal decodes CBOR strictly: unknown fields, duplicate keys, tags and indefinite lengths are errors.
func Unmarshal(data []byte, v any) error {
	return decMode.Unmarshal(data, v)
}

// PartKey returns the store key of the part with the hash.
func PartKey(hash string) string {
	return "part/" + hash
}

// Hash returns the content hash of a part body: SHA-256 in lower-case hex.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Encode returns the deterministic CBOR encoding, so that equal manifests have equal bytes. It returns an error that wraps
// ErrInvalid if the manifest breaks the rules that Decode checks.
func (m *Manifest) Encode() ([]byte, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	return Marshal(m)
}

// Decode parses and checks an encoded manifest. Errors wrap ErrInvalid.
func Decode(data []byte) (*Manifest, error) {
	m := &Manifest{}
	if err := Unmarshal(data, m); err != nil {
		return nil, eris.Wrap(errors.Join(ErrInvalid, err), "decode manifest")
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return m, nil
}

// check checks the limits, the names and hashes, and the order of publications and parts.
func (m *Manifest) check() error {
	if len(m.Publications) > MaxPublications || len(m.Parts) > MaxParts {
		return eris.Wrap(ErrInvalid, "too many publications or parts")
	}
	var lastVersion uint64
	for _, p := range m.Publications {
		if !idPattern.MatchString(p.ID) || p.Version < lastVersion || p.Version > m.Version {
			return eris.Wrapf(ErrInvalid, "publication %q has an invalid id or version", p.ID)
		}
		lastVersion = p.Version
	}
	lastName := ""
	for _, p := range m.Parts {
		ok := partPattern.MatchString(p.Name) && p.Name > lastName && p.Version <= m.Version
		if !ok || (p.Hash != "" && !hashPattern.MatchString(p.Hash)) {
			return eris.Wrapf(ErrInvalid, "part %q has an invalid name, version or hash, or is out of order", p.Name)
		}
		lastName = p.Name
	}
	return nil
}

// Equal reports whether both manifests have the same content.
func (m *Manifest) Equal(o *Manifest) bool {
	return m.Version == o.Version && slices.Equal(m.Publications, o.Publications) && slices.Equal(m.Parts, o.Parts)
}

// Part returns the listed part with the name, even if it is removed, or the zero Part if it is not listed.
func (m *Manifest) Part(name string) Part {
	i, ok := m.find(name)
	if !ok {
		return Part{}
	}
	return m.Parts[i]
}

// find returns the index at which the part is listed or would be inserted, and whether it is listed.
func (m *Manifest) find(name string) (int, bool) {
	return slices.BinarySearchFunc(m.Parts, name, func(p Part, n string) int { return cmp.Compare(p.Name, n) })
}

// LiveParts returns the parts that are not removed.
func (m *Manifest) LiveParts() []Part {
	return slices.DeleteFunc(slices.Clone(m.Parts), func(p Part) bool { return p.Hash == "" })
}

// FindPublication returns the publication with the id and whether it is listed.
func (m *Manifest) FindPublication(id string) (Publication, bool) {
	for _, p := range m.Publications {
		if p.ID == id {
			return p, true
		}
	}
	return Publication{}, false
}

// PublicationID returns the id of the first listed publication with the version, or "" if none is listed.
func (m *Manifest) PublicationID(version uint64) string {
	for _, p := range m.Publications {
		if p.Version == version {
			return p.ID
		}
	}
	return ""
}

// Next returns the manifest of the next version, which adds the publication id. changes maps the names of changed parts to
// their hashes; an empty hash removes the part.
func (m *Manifest) Next(id string, changes map[string]string) *Manifest {
	return m.derive(m.Version+1, []string{id}, changes)
}

// derive returns a manifest with the version that adds the publications ids and the changes to m. It drops the oldest
// publications above MaxPublications, and removed parts that are older than the remaining publications.
func (m *Manifest) derive(version uint64, ids []string, changes map[string]string) *Manifest {
	n := &Manifest{
		Version:      version,
		Publications: slices.Clone(m.Publications),
		Parts:        slices.Clone(m.Parts),
	}
	for _, id := range ids {
		n.Publications = append(n.Publications, Publication{
			ID:      id,
			Version: version,
		})
	}
	if excess := len(n.Publications) - MaxPublications; excess > 0 {
		n.Publications = slices.Delete(n.Publications, 0, excess)
	}
	for name, hash := range changes {
		part := Part{
			Name:    name,
			Hash:    hash,
			Version: version,
		}
		i, listed := n.find(name)
		if !listed {
			n.Parts = slices.Insert(n.Parts, i, part)
			continue
		}
		n.Parts[i] = part
	}
	if len(n.Publications) > 0 {
		oldest := n.Publications[0].Version
		n.Parts = slices.DeleteFunc(n.Parts, func(p Part) bool { return p.Hash == "" && p.Version < oldest })
	}
	return n
}

// Includes reports whether m equals o or was made from o by further publications. If m no longer lists the last publication
// of o, it reports whether m's list is full and starts after the version of o, because then m is at least MaxPublications
// publications ahead. An o without publications is included if its version is not higher.
func (m *Manifest) Includes(o *Manifest) bool {
	if m.Equal(o) || len(o.Publications) == 0 {
		return m.Version >= o.Version
	}
	last := o.Publications[len(o.Publications)-1]
	if _, ok := m.FindPublication(last.ID); ok {
		return m.Version > o.Version
	}
	return len(m.Publications) == MaxPublications && m.Publications[0].Version > o.Version
}

// Merge merges two manifests of which neither includes the other. Such manifests arise if the store is restored to an older
// copy and a publisher changes the copy before a host has repaired it. All publications of both stay in force, except
// that a part that both changed differently keeps the change of m. The names of these parts are returned. The result is the
// same on every host that merges m and o in this order, which MergesBefore gives.
func (m *Manifest) Merge(o *Manifest) (*Manifest, []string) {
	base, ids := m.divergence(o)
	changes := map[string]string{}
	var overridden []string
	for _, p := range o.Parts {
		if p.Version <= base || p.Hash == m.Part(p.Name).Hash {
			continue
		}
		if m.Part(p.Name).Version > base {
			overridden = append(overridden, p.Name)
			continue
		}
		changes[p.Name] = p.Hash
	}
	return m.derive(max(m.Version, o.Version)+1, ids, changes), overridden
}

// Supersede is like Merge but drops all changes of o. It is used if the merged configuration would be invalid.
func (m *Manifest) Supersede(o *Manifest) *Manifest {
	_, ids := m.divergence(o)
	return m.derive(max(m.Version, o.Version)+1, ids, nil)
}

// divergence returns the version of the newest publication of o that m also lists, or 0 if there is none, and the ids of o's
// publications that m does not list.
func (m *Manifest) divergence(o *Manifest) (uint64, []string) {
	var base uint64
	var ids []string
	for _, p := range o.Publications {
		if _, ok := m.FindPublication(p.ID); ok {
			base = p.Version
			continue
		}
		ids = append(ids, p.ID)
	}
	return base, ids
}

// MergesBefore reports whether m is the receiver when m and o are merged. It orders manifests that do not include each
// other, so that all hosts merge them in the same order: the higher version first, then the lower encoding.
func (m *Manifest) MergesBefore(o *Manifest) bool {
	if m.Version != o.Version {
		return m.Version > o.Version
	}
	a, errA := m.Encode()
	b, errB := o.Encode()
	return errA == nil && errB == nil && bytes.Compare(a, b) < 0
}

// String returns a short description for logs.
func (m *Manifest) String() string {
	return fmt.Sprintf("version %d, %d parts", m.Version, len(m.Parts))
}
