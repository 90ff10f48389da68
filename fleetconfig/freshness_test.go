package fleetconfig

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/goldentest"
)

const outputPrefix = "  -> "

// Guards against withdrawn keys being served in a partitioned part of the fleet, against requests being refused while
// only the table is down, and against a restarted entry that trusts a single outdated peer.
func TestFreshnessSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string { return replaySession(t, script) })
}

// replaySession executes the events of a session and returns the session with a line of output after each "decision"
// and "expire" event.
func replaySession(t *testing.T, session string) string {
	t.Helper()
	f := NewFreshness(FreshnessOptions{Self: "a", DataCentre: "sudur"})
	start := time.Unix(1000, 0)
	now := start
	var out strings.Builder
	for line := range strings.Lines(session) {
		if strings.HasPrefix(line, outputPrefix) {
			continue
		}
		out.WriteString(line)
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		switch words[0] {
		case "at":
			now = start.Add(parseDuration(t, words[1]))
		case "entry":
			f.ObserveEntry(words[1], words[2], now)
		case "confirm":
			f.RecordConfirmation(now)
		case "applied":
			f.RecordApplied(parseInt(t, words[1]))
		case "response":
			f.RecordResponse(PeerResponse{
				Name: words[1], DataCentre: words[2], SentAt: now,
				ConfirmationAge: parseDuration(t, words[3]), Revision: parseInt(t, words[4]),
			})
		case "expire":
			fmt.Fprintf(&out, "%sremoved %v\n", outputPrefix, f.Expire(now))
		case "decision":
			decision := f.Decision(now)
			fmt.Fprintf(&out, "%sserve=%t reason=%s detail=%q age=%s responding=%d/%d\n",
				outputPrefix, decision.Serve, decision.Reason, decision.Detail, decision.ConfirmationAge,
				decision.RespondingPeers, decision.KnownEntries)
		default:
			t.Fatalf("unknown event %q", line)
		}
	}
	return out.String()
}

func parseDuration(t *testing.T, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func parseInt(t *testing.T, s string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
