// Package logging creates the zerolog logger of a program, which writes one line of key=value pairs for each event.
package logging

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// New returns a logger for program that writes to w. An empty level means info; an unknown level is an error.
func New(w io.Writer, program, level string) (zerolog.Logger, error) {
	if level == "" {
		level = zerolog.InfoLevel.String()
	}
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), eris.Wrapf(err, "log level %q is unknown; use debug, info, warn or error", level)
	}
	out := zerolog.ConsoleWriter{
		Out: w, NoColor: true,
		FormatTimestamp:     func(v any) string { return "time=" + quote(v) },
		FormatLevel:         func(v any) string { return "level=" + quote(v) },
		FormatMessage:       func(v any) string { return "event=" + quote(v) },
		FormatFieldName:     func(v any) string { return fmt.Sprint(v) + "=" },
		FormatFieldValue:    quote,
		FormatCaller:        formatCaller,
		FormatErrFieldName:  func(v any) string { return fmt.Sprint(v) + "=" },
		FormatErrFieldValue: quote,
	}
	return zerolog.New(out).Level(parsed).Hook(timestamp{}).With().Str("program", program).Logger(), nil
}

// timeFormat has a fixed width, so that sorting the lines of several processes as text sorts them by time.
const timeFormat = "2006-01-02T15:04:05.000Z"

// timestamp is a zerolog.Hook that adds the time to each event.
type timestamp struct{}

// Run implements zerolog.Hook.
func (timestamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeFormat))
}

// formatCaller formats the field "caller" like any other field; the console writer would treat it as a source location.
func formatCaller(v any) string {
	if v == nil {
		return ""
	}
	return "caller=" + quote(v)
}

// maxValueBytes bounds the value of a field, which may quote input from outside. It leaves room for a stack.
const maxValueBytes = 8 << 10

// quote formats a value on one line, in quotes if it is empty or contains spaces, quotes, "=" or line breaks. A value that
// is too long is cut.
func quote(v any) string {
	if v == nil {
		return `""`
	}
	text := fmt.Sprint(v)
	if raw, ok := v.([]byte); ok {
		text = string(raw)
	}
	if unquoted, err := strconv.Unquote(text); err == nil {
		text = unquoted
	}
	if len(text) > maxValueBytes {
		text = fmt.Sprintf("%s... (%d bytes)", text[:maxValueBytes], len(text))
	}
	if text == "" || strings.ContainsAny(text, " =\"\n\r\t") {
		return strconv.Quote(text)
	}
	return text
}
