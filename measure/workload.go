package measure

import (
	"encoding/binary"
	"math"

	"github.com/radishshelf/radishshelf/prefixindex"
)

// documentsPerWorkspace is how many distinct prompt beginnings a workspace uses. All of them together need six
// (Hraunvegur) and ten (Verband) times the cache of one engine.
const documentsPerWorkspace = 60

// uniqueBlocks is the part of a prompt that no other prompt shares.
const uniqueBlocks = 4

// blockBytes is the size of a prompt block in the model, where a number stands for its text.
const blockBytes = 8

// bytesPerToken and bytesPerEvent convert prompts and streamed answers into volume.
const (
	bytesPerToken = 4
	bytesPerEvent = 60
)

// Request is the input of one generated request.
type Request struct {
	Workspace      int
	Blocks         []uint64
	PromptTokens   int
	ResponseTokens int
	// Bytes is the volume of prompt and answer.
	Bytes int64
}

// RequestGenerator draws requests of one user.
type RequestGenerator struct {
	sim    *Sim
	user   User
	engine EngineConfig
	// popularity of documents follows Zipf's law.
	popularity      []float64
	lastUniqueBlock uint64
}

// NewRequestGenerator returns a source of requests.
func NewRequestGenerator(s *Sim, u User, engine EngineConfig) *RequestGenerator {
	p := &RequestGenerator{sim: s, user: u, engine: engine}
	for i := range documentsPerWorkspace {
		p.popularity = append(p.popularity, 1/math.Pow(float64(i+1), 0.8))
	}
	return p
}

// Next draws a request.
func (p *RequestGenerator) Next() Request {
	w := pickWeighted(p.sim, p.user.WorkspaceWeights)
	document := pickWeighted(p.sim, p.popularity)
	total := p.user.PrefixBlocks + uniqueBlocks
	var text []byte
	for i := range p.user.PrefixBlocks {
		text = binary.BigEndian.AppendUint64(text, uint64(document*total+i))
	}
	for range uniqueBlocks {
		p.lastUniqueBlock++
		text = binary.BigEndian.AppendUint64(text, 1<<63|p.lastUniqueBlock)
	}
	scope := prefixindex.Scope{Workspace: string(rune('a' + w)), Policy: "p", Version: 1}
	tokens := total * p.engine.BlockTokens
	answer := lognormal(p.sim, p.user.MeanResponseTokens, 0.6, int(8*p.user.MeanResponseTokens))
	return Request{
		Workspace:      w,
		Blocks:         prefixindex.BlockHashes(scope, text, blockBytes, total),
		PromptTokens:   tokens,
		ResponseTokens: answer,
		Bytes:          int64(tokens*bytesPerToken + answer*bytesPerEvent),
	}
}
