package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against a flood of one event that takes more CPU time than the requests, and against dropped lines that are
// not counted.
func TestLimiterCounts(t *testing.T) {
	now := time.Unix(100, 0)
	limiter := NewLimiter()
	limiter.now = func() time.Time { return now }
	var out bytes.Buffer
	log := zerolog.New(&out).Hook(limiter)
	for range maxLinesPerSecond + 50 {
		log.Info().Msg("refused")
	}
	log.Info().Msg("other")
	if lines := strings.Count(out.String(), "\n"); lines != maxLinesPerSecond+1 {
		t.Errorf("%d lines, want %d", lines, maxLinesPerSecond+1)
	}
	now = now.Add(time.Second)
	out.Reset()
	log.Info().Msg("refused")
	if !strings.Contains(out.String(), `"suppressed":50`) {
		t.Errorf("the next line %s lacks the number of dropped lines", out.String())
	}
}

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a blocked output that delays requests, and against dropped lines that are not counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	const line = "line\n"
	// The buffer holds asyncBufferLines lines, and the writing goroutine may have taken maxBatchBytes before it blocks.
	const lines = asyncBufferLines + maxBatchBytes/len(line) + 1000
	out := blockedWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	done := make(chan struct{})
	go func() {
		for range lines {
			_, _ = w.Write([]byte(line))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocked")
	}
	if w.Dropped() == 0 {
		t.Error("Dropped = 0, want the lines beyond the buffer")
	}
	close(out.release)
	w.Close()
}
