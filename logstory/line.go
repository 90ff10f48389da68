// Package logstory tells the story of one request or batch job from the log files of many processes.
package logstory

import (
	"strconv"
	"strings"
	"time"
)

// Line is one event of a log.
type Line struct {
	Time time.Time
	// Host is the process that wrote the line, and Event what happened.
	Host, Event string
	// Fields holds the other pairs in the order of the line.
	Fields []Field
	// Number is the place of the line in its file, from 1.
	Number int
}

// Field is a key with its value.
type Field struct {
	Key, Value string
}

// parse reads the pairs of a line. What stands before the first pair, such as the prefix of a log collector, is skipped.
// It returns false for a line without an event.
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

// nextPair cuts the next word off; spaces inside quotes belong to it.
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
