package publ

import (
	"cmp"
	"slices"
	"strings"

	"monsoonhub.example/steer/internal/conf/files"
	"monsoonhub.example/steer/internal/conf/manif"
)

const (
	blocksPart   = "blocks" // Part with Remove that stands for all client blocks.
	blocksPrefix = "blocks/"
)

// PartHashes maps part names to content hashes. A part that does not exist is not in the map.
type PartHashes map[string]string

// hashesOf returns the live parts of a manifest.
func hashesOf(m *manif.Manifest) PartHashes {
	out := PartHashes{}
	for _, p := range m.LiveParts() {
		out[p.Name] = p.Hash
	}
	return out
}

// wanted returns what the directory says about each part it covers; an empty hash means removal. A directory with client
// blocks covers all parts of client blocks in the base, because a block may have moved from one part to another.
func wanted(base PartHashes, parts files.Parts) PartHashes {
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

func coversBlocks(parts files.Parts) bool {
	return slices.ContainsFunc(parts, func(p files.Part) bool {
		return p.Name == blocksPart || strings.HasPrefix(p.Name, blocksPrefix)
	})
}

// Merge compares the parts of a directory with the base and with the manifest now. It returns the changes to make, as
// part names with hashes (empty for removal), and the parts that the directory and another publication both changed.
// Parts that the directory leaves as they were in the base keep their content in the manifest.
func Merge(base PartHashes, now *manif.Manifest, parts files.Parts) (PartHashes, []Conflict) {
	theirs := hashesOf(now)
	changes := PartHashes{}
	var conflicts []Conflict
	for name, mine := range wanted(base, parts) {
		switch {
		case mine == theirs[name], mine == base[name]:
		case base[name] == theirs[name]:
			changes[name] = mine
		default:
			conflicts = append(conflicts, conflict(now, name))
		}
	}
	slices.SortFunc(conflicts, func(a, b Conflict) int { return cmp.Compare(a.Part, b.Part) })
	return changes, conflicts
}

func conflict(now *manif.Manifest, name string) Conflict {
	p := now.Part(name)
	c := Conflict{
		Part:    name,
		Version: p.Version,
		Removed: p.Hash == "",
		Hash:    p.Hash,
	}
	if p.Version > 0 {
		c.PublicationID = now.PublicationID(p.Version)
	}
	return c
}

// rebase returns the base of the next publication: the content of the directory for the parts it covers, so that a part
// that only another publication has changed is not seen as a change of this directory; the manifest for the others.
func rebase(now *manif.Manifest, parts files.Parts) PartHashes {
	out := hashesOf(now)
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
