package engine

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/prefixindex"
)

// Figures of the stand-in generation.
const (
	// exitCrash is the exit code of a crash caused by a marker.
	exitCrash = 3
	// stepTime is the shortest pause between chunks; at high rates one chunk carries several tokens.
	stepTime = 5 * time.Millisecond
	// bytesPerToken converts a prompt length into tokens.
	bytesPerToken = 4
	vocabulary    = 1000
	// maxPromptBlocks is how many blocks of one prompt are cached.
	maxPromptBlocks = 128
)

// generation is one running request.
type generation struct {
	engine *Engine
	salt   string
	prompt string
	// blocks is what prefix blocks are cut from.
	blocks []byte
	// wanted tokens will be generated; done were so far.
	wanted, done int
	limited      bool
	promptTokens int
	cachedTokens int
	random       *rand.Rand
}

// ResponsePrefix is the first word of the answer to a prompt, so that a test can tell whose answer it received.
func ResponsePrefix(messages []engineapi.Message) string {
	return fmt.Sprintf("re:%016x", xxhash.Sum64String(engineapi.PromptText(messages)))
}

func (e *Engine) newGeneration(req chatCall, prompt, salt string) *generation {
	wanted := req.MaxTokens
	if wanted <= 0 {
		wanted = e.settings.DefaultTokens
	}
	g := &generation{
		engine: e, salt: salt, prompt: prompt, blocks: req.rawMessages, wanted: min(wanted, e.settings.MaxTokens), limited: req.MaxTokens > 0,
		promptTokens: 1 + len(prompt)/bytesPerToken, random: rand.New(rand.NewSource(int64(xxhash.Sum64String(prompt)))),
	}
	return g
}

// run generates the tokens and passes each chunk on with its label.
func (g *generation) run(ctx context.Context, emit func(text string, label engineapi.Label) error) error {
	_, _, restarted := g.engine.weights.current()
	if err := g.readPrompt(ctx, restarted); err != nil {
		return err
	}
	perToken := time.Duration(float64(time.Second) / g.engine.settings.TokensPerSecond)
	start := time.Now()
	for g.done < g.wanted {
		if err := wait(ctx, restarted, max(perToken, stepTime)); err != nil {
			return err
		}
		owed := min(int(time.Since(start)/perToken), g.wanted) - g.done
		if owed <= 0 {
			continue
		}
		if err := g.emit(owed, emit); err != nil {
			return err
		}
	}
	return nil
}

func (g *generation) emit(count int, emit func(text string, label engineapi.Label) error) error {
	truncateAfter := g.engine.faults.get().TruncateAfterTokens
	if truncateAfter > 0 {
		count = min(count, max(truncateAfter-g.done, 0))
	}
	if count > 0 {
		version, startCount, _ := g.engine.weights.current()
		label := engineapi.Label{WeightVersion: version, StartCount: startCount, Tokens: count}
		if err := emit(g.words(count, version), label); err != nil {
			return err
		}
	}
	if truncateAfter > 0 && g.done >= truncateAfter {
		return errTruncated
	}
	return nil
}

func (g *generation) words(count int, version int64) string {
	var b strings.Builder
	for range count {
		if g.done == 0 {
			fmt.Fprintf(&b, "re:%016x ", xxhash.Sum64String(g.prompt))
		} else {
			fmt.Fprintf(&b, "v%d-%d ", version, g.random.Intn(vocabulary))
		}
		g.done++
	}
	return b.String()
}

// readPrompt takes the time of the part of the prompt that is not cached.
func (g *generation) readPrompt(ctx context.Context, restarted <-chan struct{}) error {
	version, _, _ := g.engine.weights.current()
	// Blocks computed with other weights, or for another workspace, must not match.
	scope := prefixindex.Scope{Workspace: g.salt, Policy: g.engine.settings.Policy, Version: version}
	hashes := prefixindex.BlockHashes(scope, g.blocks, g.engine.settings.CacheBlockBytes, maxPromptBlocks)
	hits := g.engine.cache.use(hashes, time.Now())
	g.cachedTokens = min(g.promptTokens, hits*g.engine.settings.CacheBlockBytes/bytesPerToken)
	seconds := float64(g.promptTokens-g.cachedTokens) / g.engine.settings.PromptTokensPerSecond
	delay := time.Duration(seconds*float64(time.Second)) + g.engine.faults.firstTokenDelay()
	return wait(ctx, restarted, delay)
}

func wait(ctx context.Context, restarted <-chan struct{}, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-restarted:
		return errRestarted
	case <-timer.C:
		return nil
	}
}

func (g *generation) finishReason() string {
	if g.limited {
		return "length"
	}
	return "stop"
}

func (g *generation) usage() engineapi.Usage {
	return engineapi.Usage{
		PromptTokens: int64(g.promptTokens), CompletionTokens: int64(g.done),
		TotalTokens: int64(g.promptTokens + g.done), CachedTokens: int64(g.cachedTokens),
	}
}
