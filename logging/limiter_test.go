package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against a flood of one event that costs more processor time than the requests, and against lines that vanish
// without a count.
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
		t.Errorf("the next line is %s", out.String())
	}
}

// blockedWriter never returns until it is released.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against an output that stands still and holds up requests, and against lines that vanish without a count.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	const line = "line\n"
	// The buffer takes asyncLines, and the goroutine that writes may have joined maxJoined bytes before it is blocked.
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
		t.Error("no dropped line was counted")
	}
	close(out.release)
	w.Close()
}
