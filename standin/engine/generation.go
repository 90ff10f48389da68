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

// Parameters of the simulated generation.
const (
	// crashExitCode is the exit code of a process that a crash marker terminates.
	crashExitCode = 3
	// minChunkInterval is the minimum time between chunks; at high token rates one chunk carries several tokens.
	minChunkInterval = 5 * time.Millisecond
	// bytesPerToken converts the length of a prompt to a number of tokens.
	bytesPerToken  = 4
	vocabularySize = 1000
	// maxPromptBlocks is the maximum number of blocks of one prompt that are cached.
	maxPromptBlocks = 128
)

// generation is the state of one running request.
type generation struct {
	engine *Engine
	salt   string
	prompt string
	// rawMessages are the bytes from which the prefix blocks are computed.
	rawMessages []byte
	// targetTokens is the length of the completion, doneTokens the number of tokens generated so far.
	targetTokens, doneTokens int
	lengthLimited            bool // the request sets max_tokens
	promptTokens             int
	cachedTokens             int
	random                   *rand.Rand
}

// ResponsePrefix returns the first word of the response to messages. It contains a hash of the prompt, so that a test
// can verify which request a response belongs to.
func ResponsePrefix(messages []engineapi.Message) string {
	return fmt.Sprintf("re:%016x", xxhash.Sum64String(engineapi.PromptText(messages)))
}

func (e *Engine) newGeneration(req chatRequest, prompt, salt string) *generation {
	targetTokens := req.MaxTokens
	if targetTokens <= 0 {
		targetTokens = e.settings.DefaultTokens
	}
	g := &generation{
		engine: e, salt: salt, prompt: prompt, rawMessages: req.rawMessages,
		targetTokens: min(targetTokens, e.settings.MaxTokens), lengthLimited: req.MaxTokens > 0,
		promptTokens: 1 + len(prompt)/bytesPerToken, random: rand.New(rand.NewSource(int64(xxhash.Sum64String(prompt)))),
	}
	return g
}

// generate produces the completion at the configured rate and passes each chunk with its label to emit. It fails with
// errTruncated on a truncation fault, with errRestarted when the engine restarts, and with the error of ctx.
func (g *generation) generate(ctx context.Context, emit func(text string, label engineapi.Label) error) error {
	_, _, restarted := g.engine.weights.current()
	if err := g.prefill(ctx, restarted); err != nil {
		return err
	}
	tokenInterval := time.Duration(float64(time.Second) / g.engine.settings.TokensPerSecond)
	start := time.Now()
	for g.doneTokens < g.targetTokens {
		if err := wait(ctx, restarted, max(tokenInterval, minChunkInterval)); err != nil {
			return err
		}
		due := min(int(time.Since(start)/tokenInterval), g.targetTokens) - g.doneTokens
		if due <= 0 {
			continue
		}
		if err := g.emitTokens(due, emit); err != nil {
			return err
		}
	}
	return nil
}

// emitTokens emits one chunk of up to count tokens, and returns errTruncated once the limit of a truncation fault is
// reached.
func (g *generation) emitTokens(count int, emit func(text string, label engineapi.Label) error) error {
	truncateAfter := g.engine.faults.get().TruncateAfterTokens
	if truncateAfter > 0 {
		count = min(count, max(truncateAfter-g.doneTokens, 0))
	}
	if count > 0 {
		version, startCount, _ := g.engine.weights.current()
		label := engineapi.Label{WeightVersion: version, StartCount: startCount, Tokens: count}
		if err := emit(g.nextText(count, version), label); err != nil {
			return err
		}
	}
	if truncateAfter > 0 && g.doneTokens >= truncateAfter {
		return errTruncated
	}
	return nil
}

// nextText returns the next count words of the completion.
func (g *generation) nextText(count int, version int64) string {
	var b strings.Builder
	for range count {
		if g.doneTokens == 0 {
			fmt.Fprintf(&b, "re:%016x ", xxhash.Sum64String(g.prompt))
		} else {
			fmt.Fprintf(&b, "v%d-%d ", version, g.random.Intn(vocabularySize))
		}
		g.doneTokens++
	}
	return b.String()
}

// prefill waits for the time that processing the uncached part of the prompt takes.
func (g *generation) prefill(ctx context.Context, restarted <-chan struct{}) error {
	version, _, _ := g.engine.weights.current()
	// The scope keeps blocks of other weight versions and other workspaces from matching.
	scope := prefixindex.Scope{Workspace: g.salt, Policy: g.engine.settings.Policy, Version: version}
	hashes := prefixindex.BlockHashes(scope, g.rawMessages, g.engine.settings.CacheBlockBytes, maxPromptBlocks)
	hits := g.engine.cache.matchAndInsert(hashes, time.Now())
	g.cachedTokens = min(g.promptTokens, hits*g.engine.settings.CacheBlockBytes/bytesPerToken)
	seconds := float64(g.promptTokens-g.cachedTokens) / g.engine.settings.PromptTokensPerSecond
	delay := time.Duration(seconds*float64(time.Second)) + g.engine.faults.firstTokenDelay()
	return wait(ctx, restarted, delay)
}

// wait waits for delay. It returns early with an error when ctx ends or restarted is closed.
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
	if g.lengthLimited {
		return "length"
	}
	return "stop"
}

func (g *generation) usage() engineapi.Usage {
	return engineapi.Usage{
		PromptTokens: int64(g.promptTokens), CompletionTokens: int64(g.doneTokens),
		TotalTokens: int64(g.promptTokens + g.doneTokens), CachedTokens: int64(g.cachedTokens),
	}
}
