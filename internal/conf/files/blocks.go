package files

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/manif"
)

// Client blocks are divided into parts by a binary trie over (address family, address). The bits of part number n after its
// leading 1 are the prefix of the blocks in the part: the first bit is 0 for IPv4 and 1 for IPv6, the others are the first
// bits of the network address. A part that grows too large is split in two. Every block therefore belongs to exactly one
// part, whatever the other blocks are.
const (
	rootPartNumber = 1       // Part that covers all blocks.
	maxDepth       = 60      // Maximum bits of a part number after the leading 1.
	maxPackedBytes = 860_000 // Maximum bytes of packed blocks in a part; the rest of manif.MaxPartSize holds the data centres.

	packedIPv4Size = 4 + 2  // Bytes of an IPv4 block: address, prefix length, data centre.
	packedIPv6Size = 16 + 2 // Bytes of an IPv6 block.
)

// blocksBody is the encoded content of a part blocks/<n>. Each packed block consists of its address, its prefix length and
// the index of its data centre. Blocks are sorted by address and prefix length.
type blocksBody struct {
	DataCentres []string `cbor:"data-centres"` // Sorted.
	IPv4Blocks  []byte   `cbor:"four"`         // IPv4 blocks, 6 bytes each.
	IPv6Blocks  []byte   `cbor:"six"`          // IPv6 blocks, 18 bytes each.
}

// blockPart is a decoded part of client blocks with its name.
type blockPart struct {
	name string
	body *blocksBody
}

// blockEntry is a client block and the place in a steering file where it was read.
type blockEntry struct {
	prefix         netip.Prefix
	dataCentreName string
	file           int32 // Index into directoryCheck.blockFiles.
	line           int32
}

// packedSize returns the encoded size in bytes of the blocks, of which the first ipv4Count are IPv4.
func packedSize(blocks []blockEntry, ipv4Count int) int {
	return ipv4Count*packedIPv4Size + (len(blocks)-ipv4Count)*packedIPv6Size
}

// isIPv6 reports whether the block is IPv6, which is the first bit of the trie.
func isIPv6(e blockEntry) bool {
	return e.prefix.Addr().Is6()
}

// splitBlocks divides the blocks, which must be sorted by prefix, into parts.
func splitBlocks(blocks []blockEntry) (Parts, error) {
	if len(blocks) == 0 {
		return nil, nil
	}
	return splitSubtree(nil, blocks, rootPartNumber, 0)
}

// splitSubtree appends the parts of the subtree at part n, which lies depth bits below the root and holds the blocks.
func splitSubtree(parts Parts, blocks []blockEntry, n uint64, depth int) (Parts, error) {
	if len(blocks) == 0 {
		return parts, nil
	}
	ipv4Count, _ := slices.BinarySearchFunc(blocks, true, func(e blockEntry, _ bool) int {
		if isIPv6(e) {
			return 1
		}
		return -1
	})
	if packedSize(blocks, ipv4Count) <= maxPackedBytes {
		part, err := packBlocks(n, blocks, ipv4Count)
		if err != nil {
			return nil, err
		}
		return append(parts, part), nil
	}
	if depth == maxDepth {
		return nil, fmt.Errorf("more than %d bytes of blocks in %v", maxPackedBytes, blocks[0].prefix)
	}
	splitIndex := ipv4Count
	if depth > 0 {
		splitIndex, _ = slices.BinarySearchFunc(blocks, true, func(e blockEntry, _ bool) int {
			if bit(e.prefix.Addr(), depth-1) {
				return 1
			}
			return -1
		})
	}
	parts, err := splitSubtree(parts, blocks[:splitIndex], n<<1, depth+1)
	if err != nil {
		return nil, err
	}
	return splitSubtree(parts, blocks[splitIndex:], n<<1|1, depth+1)
}

// bit reports whether bit i of the address is set, counted from the left. Bits after the end of an IPv4 address are 0.
func bit(a netip.Addr, i int) bool {
	raw := a.AsSlice()
	return i/8 < len(raw) && raw[i/8]&(0x80>>(i%8)) != 0
}

// packBlocks encodes the blocks, of which the first ipv4Count are IPv4, as part n.
func packBlocks(n uint64, blocks []blockEntry, ipv4Count int) (Part, error) {
	body := &blocksBody{
		IPv4Blocks: make([]byte, 0, ipv4Count*packedIPv4Size),
		IPv6Blocks: make([]byte, 0, (len(blocks)-ipv4Count)*packedIPv6Size),
	}
	index := map[string]byte{}
	for _, e := range blocks {
		if _, ok := index[e.dataCentreName]; !ok {
			index[e.dataCentreName] = 0
			body.DataCentres = append(body.DataCentres, e.dataCentreName)
		}
	}
	if len(body.DataCentres) > maxDataCentres {
		return Part{}, fmt.Errorf("more than %d data centres", maxDataCentres)
	}
	slices.Sort(body.DataCentres)
	for i, name := range body.DataCentres {
		index[name] = byte(i)
	}
	for _, e := range blocks {
		packed := &body.IPv4Blocks
		if isIPv6(e) {
			packed = &body.IPv6Blocks
		}
		*packed = append(*packed, e.prefix.Addr().AsSlice()...)
		*packed = append(*packed, byte(e.prefix.Bits()), index[e.dataCentreName])
	}
	return newPart(blocksPrefix+strconv.FormatUint(n, 10), body)
}

// len returns the number of blocks.
func (b *blocksBody) len() int {
	return len(b.IPv4Blocks)/packedIPv4Size + len(b.IPv6Blocks)/packedIPv6Size
}

// unpack appends the blocks of the part to out. A block outside the part, out of order or with host bits set is an error.
func (b *blockPart) unpack(out []steer.Block) ([]steer.Block, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(b.name, blocksPrefix), 10, 64)
	if err != nil {
		return nil, err
	}
	if len(b.body.IPv4Blocks)%packedIPv4Size != 0 || len(b.body.IPv6Blocks)%packedIPv6Size != 0 {
		return nil, fmt.Errorf("length of packed blocks is not a multiple of the block size")
	}
	var previous netip.Prefix
	for p := range slices.Chunk(b.body.IPv4Blocks, packedIPv4Size) {
		block, err := b.block(n, netip.AddrFrom4([4]byte(p[:4])), p[4:], previous)
		if err != nil {
			return nil, err
		}
		previous = block.Prefix
		out = append(out, block)
	}
	for p := range slices.Chunk(b.body.IPv6Blocks, packedIPv6Size) {
		block, err := b.block(n, netip.AddrFrom16([16]byte(p[:16])), p[16:], previous)
		if err != nil {
			return nil, err
		}
		previous = block.Prefix
		out = append(out, block)
	}
	return out, nil
}

// block checks and decodes one block of part n from its address and its tail: prefix length and data centre index. The
// previous block is the zero prefix for the first block.
func (b *blockPart) block(n uint64, a netip.Addr, tail []byte, previous netip.Prefix) (steer.Block, error) {
	p := netip.PrefixFrom(a, int(tail[0]))
	if !p.IsValid() || p != p.Masked() || a.Is4In6() {
		return steer.Block{}, fmt.Errorf("invalid block %v/%d", a, tail[0])
	}
	if !inPart(n, a) || (previous.IsValid() && previous.Compare(p) >= 0) {
		return steer.Block{}, fmt.Errorf("block %v is out of order or belongs to another part", p)
	}
	if int(tail[1]) >= len(b.body.DataCentres) {
		return steer.Block{}, fmt.Errorf("data centre index of block %v is out of range", p)
	}
	return steer.Block{
		Prefix:     p,
		DataCentre: b.body.DataCentres[tail[1]],
	}, nil
}

// inPart reports whether the address belongs to part n.
func inPart(n uint64, a netip.Addr) bool {
	path := uint64(rootPartNumber) << 1
	if a.Is6() {
		path |= 1
	}
	raw := a.AsSlice()
	var head [8]byte
	copy(head[:], raw)
	bits := binary.BigEndian.Uint64(head[:])
	depth := partDepth(n)
	switch depth {
	case 0:
		return true
	case 1:
		return n == path
	}
	return n == path<<(depth-1)|bits>>(64-(depth-1))
}

// partDepth returns the number of bits of a part number after its leading 1.
func partDepth(n uint64) int {
	depth := -1
	for ; n > 0; n >>= 1 {
		depth++
	}
	return depth
}

// findNestedParts returns the names of two parts, of which the first covers all addresses of the second, and whether there
// are such parts. They would allow the same block twice.
func findNestedParts(parts []*blockPart) (string, string, bool) {
	names := map[uint64]string{}
	for _, p := range parts {
		n, _ := strconv.ParseUint(strings.TrimPrefix(p.name, blocksPrefix), 10, 64)
		names[n] = p.name
	}
	for n, name := range names {
		for m := n >> 1; m > 0; m >>= 1 {
			if outer, ok := names[m]; ok {
				return outer, name, true
			}
		}
	}
	return "", "", false
}

// newPart encodes body as the part with the name. A body larger than manif.MaxPartSize is an error.
func newPart(name string, body any) (Part, error) {
	data, err := manif.Marshal(body)
	if err != nil {
		return Part{}, err
	}
	if len(data) > manif.MaxPartSize {
		return Part{}, fmt.Errorf("%d bytes after encoding; at most %d", len(data), manif.MaxPartSize)
	}
	return Part{
		Name: name,
		Body: data,
		Hash: manif.Hash(data),
	}, nil
}
