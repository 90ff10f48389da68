package measure

import (
	"encoding/binary"
	"math"

	"github.com/radishshelf/radishshelf/prefixindex"
)

// documentsPerWorkspace is the number of distinct prompt prefixes of a workspace. The prefixes of all workspaces need
// six (Hraunvegur) and ten (Verband) times the cache of one engine.
const documentsPerWorkspace = 60

// uniqueBlocks is the number of blocks at the end of each prompt that no other prompt shares.
const uniqueBlocks = 4

// blockBytes is the size of a prompt block in the model, which uses a 64-bit number in place of the text.
const blockBytes = 8

// bytesPerToken and bytesPerEvent convert the tokens of prompts and of streamed responses into bytes on the network.
const (
	bytesPerToken = 4
	bytesPerEvent = 60
)

// Request is one generated request.
type Request struct {
	Workspace      int
	Blocks         []uint64
	PromptTokens   int
	ResponseTokens int
	// Bytes is the size of prompt and response on the network.
	Bytes int64
}

// RequestGenerator generates random requests of one user.
type RequestGenerator struct {
	sim    *Sim
	user   User
	engine EngineConfig
	// popularity holds the weights of the documents, which follow Zipf's law.
	popularity      []float64
	lastUniqueBlock uint64
}

// NewRequestGenerator returns a generator of requests for engines with the given configuration.
func NewRequestGenerator(s *Sim, u User, engine EngineConfig) *RequestGenerator {
	g := &RequestGenerator{sim: s, user: u, engine: engine}
	for i := range documentsPerWorkspace {
		g.popularity = append(g.popularity, 1/math.Pow(float64(i+1), 0.8))
	}
	return g
}

// Next returns a random request.
func (g *RequestGenerator) Next() Request {
	w := pickWeighted(g.sim, g.user.WorkspaceWeights)
	document := pickWeighted(g.sim, g.popularity)
	total := g.user.PrefixBlocks + uniqueBlocks
	var text []byte
	for i := range g.user.PrefixBlocks {
		text = binary.BigEndian.AppendUint64(text, uint64(document*total+i))
	}
	for range uniqueBlocks {
		g.lastUniqueBlock++
		text = binary.BigEndian.AppendUint64(text, 1<<63|g.lastUniqueBlock)
	}
	scope := prefixindex.Scope{Workspace: string(rune('a' + w)), Policy: "p", Version: 1}
	tokens := total * g.engine.BlockTokens
	responseTokens := lognormal(g.sim, g.user.MeanResponseTokens, 0.6, int(8*g.user.MeanResponseTokens))
	return Request{
		Workspace:      w,
		Blocks:         prefixindex.BlockHashes(scope, text, blockBytes, total),
		PromptTokens:   tokens,
		ResponseTokens: responseTokens,
		Bytes:          int64(tokens*bytesPerToken + responseTokens*bytesPerEvent),
	}
}
