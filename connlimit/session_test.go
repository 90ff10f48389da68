package connlimit

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/goldentest"
)

// Replays sessions at a table. Each event prints the connections that it closes.
func TestGoldenSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string {
		s := &session{t: t}
		return goldentest.ReplayEvents(script, s.respond)
	})
}

type session struct {
	t     *testing.T
	table *Table
	now   time.Time
}

func (s *session) respond(words []string) []string {
	switch args := words[1:]; words[0] {
	case "limits":
		s.table = New(Limits{Connections: s.number(args[0]), Bytes: int64(s.number(args[1])) << 10})
		return nil
	case "wait":
		d, err := time.ParseDuration(args[0])
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(d)
		return nil
	case "open":
		return s.closed(s.table.Open(s.id(args), s.now))
	case "head":
		return s.closed(s.table.Head(s.id(args), s.number(args[1]), s.number(args[2]), s.now))
	case "read":
		s.table.Read(s.id(args), s.now)
	case "serve":
		s.table.Serve(s.id(args))
	case "receive":
		s.table.Receive(s.id(args))
	case "write":
		s.table.Write(s.id(args), s.now)
	case "wrote":
		s.table.Wrote(s.id(args))
	case "done":
		s.table.Done(s.id(args), s.now)
	case "close":
		s.table.Close(s.id(args))
	case "delay":
		return []string{s.table.Delay(s.now).String()}
	case "stalled":
		return s.closed(s.table.Stalled(s.now))
	default:
		s.t.Fatalf("unknown event %q", words)
	}
	return nil
}

func (s *session) closed(ids []ID) []string {
	var list []string
	for _, id := range ids {
		list = append(list, fmt.Sprint(id))
	}
	return []string{fmt.Sprintf("close [%s], open %d with %d KiB, ending %d",
		strings.Join(list, " "), s.table.Count(), s.table.Bytes()>>10, s.table.Ending())}
}

func (s *session) id(args []string) ID { return ID(s.number(args[0])) }

func (s *session) number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}
