// Package logstory reconstructs the history of one request, batch job or item from the log files of many processes.
package logstory

import (
	"strconv"
	"strings"
	"time"
)

// Line is one event in a log file.
type Line struct {
	Time time.Time
	// Host is the name of the process that wrote the line, and Event the event text.
	Host, Event string
	// Fields are the other pairs, except program and level, in the order of the line.
	Fields []Field
	// Number is the number of the line in its file, starting at 1.
	Number int
}

// Field is a key=value pair of a line.
type Field struct {
	Key, Value string
}

// parse parses the key=value pairs of a line. Words without "=", such as a prefix added by a log collector, are
// skipped. It returns false for a line without an event.
func parse(text string, number int) (Line, bool) {
	line := Line{Number: number}
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimLeft(text, " ") {
		word, rest := nextPair(text)
		text = rest
		key, value, ok := strings.Cut(word, "=")
		if !ok {
			continue
		}
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		switch key {
		case "time":
			if at, err := time.Parse(time.RFC3339Nano, value); err == nil {
				line.Time = at
			}
		case "host":
			line.Host = value
		case "event":
			line.Event = value
		case "program", "level":
		default:
			line.Fields = append(line.Fields, Field{key, value})
		}
	}
	return line, line.Event != ""
}

// nextPair splits text after the first word. Spaces inside quotes belong to the word.
func nextPair(text string) (word, rest string) {
	quoted := false
	for i := 0; i < len(text); i++ {
		switch {
		case text[i] == '\\' && quoted:
			i++
		case text[i] == '"':
			quoted = !quoted
		case text[i] == ' ' && !quoted:
			return text[:i], text[i:]
		}
	}
	return text, ""
}
