package prefixindex

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Scope identifies what cached blocks belong to. Blocks of different scopes have different hashes, so blocks are never
// shared between workspaces or between different weights.
type Scope struct {
	Workspace string
	Policy    string
	Adapter   string
	Version   int64
}

// BlockHashes returns one hash for each complete block of the prompt, at most maxBlocks. Each hash covers the scope,
// the block and all blocks before it, so that equal hashes mean equal prefixes.
func BlockHashes(scope Scope, prompt []byte, blockBytes, maxBlocks int) []uint64 {
	count := min(len(prompt)/blockBytes, maxBlocks)
	hashes := make([]uint64, 0, count)
	previous := scope.hash()
	for i := range count {
		previous = chainHash(previous, prompt[i*blockBytes:(i+1)*blockBytes])
		hashes = append(hashes, previous)
	}
	return hashes
}

func (s Scope) hash() uint64 {
	h := xxhash.New()
	for _, part := range []string{s.Workspace, s.Policy, s.Adapter} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.WriteString(part)
	}
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(s.Version)))
	return h.Sum64()
}

func chainHash(previous uint64, block []byte) uint64 {
	h := xxhash.New()
	h.Write(binary.BigEndian.AppendUint64(nil, previous))
	h.Write(block)
	return h.Sum64()
}
