package publ

import (
	"cmp"
	"slices"
	"strings"

	"monsoonhub.example/steer/internal/conf/files"
	"monsoonhub.example/steer/internal/conf/manif"
)

const (
	blocksPart   = "blocks" // Name of a part with Remove set that removes all client blocks.
	blocksPrefix = "blocks/"
)

// PartHashes maps part names to content hashes. A part that does not exist is not in the map.
type PartHashes map[string]string

// hashesOf returns the hashes of the live parts of a manifest.
func hashesOf(m *manif.Manifest) PartHashes {
	out := PartHashes{}
	for _, p := range m.LiveParts() {
		out[p.Name] = p.Hash
	}
	return out
}

// desiredHashes returns the hash that the directory wants for each part that it covers. An empty hash means removal. A
// directory with client blocks covers all block parts in the base, because a block may have moved from one part to another.
func desiredHashes(base PartHashes, parts files.Parts) PartHashes {
	out := PartHashes{}
	for _, p := range parts {
		if p.Name != blocksPart {
			out[p.Name] = p.Hash
		}
	}
	if !coversBlocks(parts) {
		return out
	}
	for name := range base {
		if _, ok := out[name]; !ok && strings.HasPrefix(name, blocksPrefix) {
			out[name] = ""
		}
	}
	return out
}

// coversBlocks reports whether the directory covers all parts of client blocks.
func coversBlocks(parts files.Parts) bool {
	return slices.ContainsFunc(parts, func(p files.Part) bool {
		return p.Name == blocksPart || strings.HasPrefix(p.Name, blocksPrefix)
	})
}

// Merge does a three-way merge of the parts of a directory with the current manifest, relative to the base. It returns the
// changes to make, as part names with hashes (empty for removal), and the parts that both the directory and another
// publication changed since the base. Parts that the directory did not change keep their content in the manifest.
func Merge(base PartHashes, current *manif.Manifest, parts files.Parts) (PartHashes, []Conflict) {
	stored := hashesOf(current)
	changes := PartHashes{}
	var conflicts []Conflict
	for name, desired := range desiredHashes(base, parts) {
		switch {
		case desired == stored[name], desired == base[name]:
		case base[name] == stored[name]:
			changes[name] = desired
		default:
			conflicts = append(conflicts, newConflict(current, name))
		}
	}
	slices.SortFunc(conflicts, func(a, b Conflict) int { return cmp.Compare(a.Part, b.Part) })
	return changes, conflicts
}

// newConflict describes the change of another publication to the part.
func newConflict(current *manif.Manifest, name string) Conflict {
	p := current.Part(name)
	c := Conflict{
		Part:    name,
		Version: p.Version,
		Removed: p.Hash == "",
		Hash:    p.Hash,
	}
	if p.Version > 0 {
		c.PublicationID = current.PublicationID(p.Version)
	}
	return c
}

// nextBase returns the base of the next publication. Parts that the directory covers have the content of the directory;
// otherwise the next publication would take a change made only by another publication for a change of this directory. All
// other parts are as in the manifest.
func nextBase(current *manif.Manifest, parts files.Parts) PartHashes {
	out := hashesOf(current)
	if coversBlocks(parts) {
		for name := range out {
			if strings.HasPrefix(name, blocksPrefix) {
				delete(out, name)
			}
		}
	}
	for _, p := range parts {
		if p.Remove {
			delete(out, p.Name)
			continue
		}
		out[p.Name] = p.Hash
	}
	return out
}
