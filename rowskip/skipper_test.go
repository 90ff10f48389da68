package rowskip

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/telemetry"
)

var errDecode = errors.New("unexpected end of JSON input")

// Guards against a line for each pass over an unreadable row, and against a line that does not name row and error.
func TestRowIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	counter := telemetry.NewRegistry().NewCounter("test_rows_skipped_total")
	s := New(zerolog.New(&out), counter)
	for range 3 {
		s.Skip("a", errDecode)
	}
	want := `{"level":"warn","key":"a","error":"unexpected end of JSON input","message":"row skipped"}` + "\n"
	if out.String() != want || counter.Get() != 1 {
		t.Fatalf("counter %d, log:\n%s", counter.Get(), out.String())
	}
	s.Forget()
	s.Skip("a", errDecode)
	if counter.Get() != 2 {
		t.Fatalf("counter %d after the row was forgotten, want 2", counter.Get())
	}
}

// Guards against memory and log lines that grow without bound with the unreadable rows.
func TestLoggedRowsAreBounded(t *testing.T) {
	var out bytes.Buffer
	counter := telemetry.NewRegistry().NewCounter("test_rows_skipped_total")
	s := New(zerolog.New(&out), counter)
	for range 2 {
		for n := range maxLoggedRows + 10 {
			s.Skip(fmt.Sprint(n), errDecode)
		}
	}
	if lines := strings.Count(out.String(), "\n"); lines != maxLoggedRows+1 || counter.Get() != maxLoggedRows {
		t.Fatalf("%d lines, counter %d; want a line for each of %d rows and one more", lines, counter.Get(), maxLoggedRows)
	}
}
