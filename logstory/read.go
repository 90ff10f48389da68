package logstory

import (
	"bufio"
	"fmt"
	"io"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// readLines passes the events of one log file to add, in the order of the file. It returns an error if no line of the file
// is an event.
func readLines(name string, r io.Reader, add func(Line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	number, parsed := 0, 0
	for scanner.Scan() {
		number++
		line, ok := parse(scanner.Text(), number)
		if !ok {
			continue
		}
		parsed++
		add(line)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log file %s after line %d: %w", name, number, err)
	}
	if parsed == 0 {
		return fmt.Errorf("log file %s: none of %d lines is an event; pass files with lines of key=value pairs", name, number)
	}
	return nil
}
