package quickstart

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/operatorclient"
	"github.com/radishshelf/radishshelf/standin/memory"
	"github.com/radishshelf/radishshelf/usage"
)

// longStreamTokens take several seconds at the rate of the stand-in engine, 800 tokens a second shared by eight slots.
const longStreamTokens = 400

// maxWithdrawDelay is the documented time within which a withdrawn key stops working.
const maxWithdrawDelay = 5 * time.Second

// checkWithdrawKey withdraws a key through the second entry while a stream that uses the key is open at the first. The stream
// must be aborted and the key refused.
func checkWithdrawKey(ctx context.Context, f *fleet) (string, error) {
	s, err := openStream(ctx, entry1URL, f.secrets["verband-2"], "long", 4*longStreamTokens)
	if err != nil {
		return "", err
	}
	defer s.resp.Body.Close()
	if err := s.readEvent(); err != nil {
		return "", err
	}
	var grant operatorclient.KeyGrant
	data, err := os.ReadFile(filepath.Join(f.dir, "verband-2.key.json"))
	if err != nil {
		return "", err
	}
	if err := json.Unmarshal(data, &grant); err != nil {
		return "", err
	}
	start := time.Now()
	if _, err := operatorclient.New(entry2OperatorAddress, operatorclient.Options{}).WithdrawKey(ctx, grant.ID); err != nil {
		return "", err
	}
	for err == nil {
		err = s.readEvent()
	}
	delay := time.Since(start)
	if s.done || err == io.EOF {
		return "", fmt.Errorf("the stream was not aborted: ended with done=%v after %s", s.done, delay)
	}
	if delay > maxWithdrawDelay {
		return "", fmt.Errorf("the stream was aborted %s after the withdrawal, want at most %s", delay, maxWithdrawDelay)
	}
	a, err := call(ctx, http.MethodPost, entry1URL+"/v1/chat/completions", f.secrets["verband-2"], newChatRequest("x", 4, false))
	if err != nil || a.status != http.StatusUnauthorized {
		return "", fmt.Errorf("request with the withdrawn key: status %d: %s: %w", a.status, a.body, err)
	}
	return fmt.Sprintf("stream_aborted_after=%s next_request=401", delay.Round(time.Millisecond)), nil
}

// checkUsageWindow waits until the reported requests of both workspaces reach the number served.
func checkUsageWindow(ctx context.Context, _ *fleet) (string, error) {
	var reports []memory.AcceptedReport
	totals := map[string]int64{}
	err := poll(ctx, "usage reports of both workspaces", func() (bool, error) {
		if err := getJSON(ctx, platformURL+"/admin/usage", &reports); err != nil {
			return false, err
		}
		clear(totals)
		for _, r := range reports {
			var window usage.WorkspaceTotals
			if err := json.Unmarshal(r.Body, &window); err != nil {
				return false, err
			}
			if r.Conflicts > 0 {
				return false, fmt.Errorf("usage report %s was received with conflicting content", r.ID)
			}
			totals[window.Workspace] += window.Requests
		}
		// Each workspace sent eight chat completions. hraunvegur also sent a lookup, and verband's booking ran once.
		return totals["hraunvegur"] >= 9 && totals["verband"] >= 9, nil
	})
	if err != nil {
		return "", fmt.Errorf("%w; totals so far %v", err, totals)
	}
	return fmt.Sprintf("reports=%d requests_hraunvegur=%d requests_verband=%d conflicts=0",
		len(reports), totals["hraunvegur"], totals["verband"]), nil
}

// checkGracefulStop stops the agent of the second engine while it has an open stream. The stream must complete, and requests
// must be served by the first engine.
func checkGracefulStop(ctx context.Context, f *fleet) (string, error) {
	streams, err := openOnBothEngines(ctx, f)
	if err != nil {
		return "", err
	}
	if err := f.signal("agent-engine-2", syscall.SIGTERM); err != nil {
		return "", err
	}
	served := 0
	for range 10 {
		if _, err := chat(ctx, entry2URL, f.secrets["hraunvegur"], "during the stop", 8); err != nil {
			return "", err
		}
		served++
	}
	for _, s := range streams {
		if err := s.readAll(); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("streams_whole=%d served_meanwhile=%d", len(streams), served), nil
}

// openOnBothEngines opens streams through both entries until each engine runs at least one.
func openOnBothEngines(ctx context.Context, f *fleet) ([]*stream, error) {
	const maxStreams = 12
	var streams []*stream
	for i := range maxStreams {
		base := []string{entry1URL, entry2URL}[i%2]
		s, err := openStream(ctx, base, f.secrets["hraunvegur"], fmt.Sprintf("open stream %d", i), longStreamTokens)
		if err != nil {
			return nil, err
		}
		if err := s.readEvent(); err != nil {
			return nil, err
		}
		streams = append(streams, s)
		both, err := bothEnginesRunning(ctx)
		if both || err != nil {
			return streams, err
		}
	}
	return nil, fmt.Errorf("all %d streams were routed to the same engine", maxStreams)
}

func bothEnginesRunning(ctx context.Context) (bool, error) {
	for _, base := range []string{engine1URL, engine2URL} {
		var status engineapi.Status
		if err := getJSON(ctx, base+engineapi.PathStatus, &status); err != nil {
			return false, err
		}
		if status.Running == 0 {
			return false, nil
		}
	}
	return true, nil
}

// checkKilledEngine kills the second engine, whose agent is already stopped. The first engine must keep serving.
func checkKilledEngine(ctx context.Context, f *fleet) (string, error) {
	if err := f.signal("engine-2", syscall.SIGKILL); err != nil {
		return "", err
	}
	served := 0
	for range 10 {
		for _, base := range []string{entry1URL, entry2URL} {
			if _, err := chat(ctx, base, f.secrets["verband"], "after the kill", 8); err != nil {
				return "", err
			}
			served++
		}
	}
	return fmt.Sprintf("served=%d failed=0", served), nil
}

// checkEntryShutdown stops the first entry while it has an open stream. The stream must complete before the process exits.
func checkEntryShutdown(ctx context.Context, f *fleet) (string, error) {
	s, err := openStream(ctx, entry1URL, f.secrets["hraunvegur"], "last stream", 2*longStreamTokens)
	if err != nil {
		return "", err
	}
	if err := s.readEvent(); err != nil {
		return "", err
	}
	if err := f.signal("entry-1", syscall.SIGTERM); err != nil {
		return "", err
	}
	if err := s.readAll(); err != nil {
		return "", err
	}
	start := time.Now()
	err = poll(ctx, "the exit of entry-1", func() (bool, error) { return f.exited("entry-1") })
	if err != nil {
		return "", err
	}
	if _, err := chat(ctx, entry2URL, f.secrets["hraunvegur"], "through the other entry", 8); err != nil {
		return "", err
	}
	return fmt.Sprintf("chunks=%d exited_after=%s", s.chunks, time.Since(start).Round(time.Millisecond)), nil
}

// exited reports whether the log says that the process has stopped. Only the script, its parent, can wait for the process.
func (f *fleet) exited(name string) (bool, error) {
	data, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return false, err
	}
	return strings.Contains(string(data), `event="entry stopped"`), nil
}
