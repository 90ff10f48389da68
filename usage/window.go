package usage

import (
	"time"

	"github.com/rotisserie/eris"
)

// DefaultWindowLength applies if no length is configured.
const DefaultWindowLength = time.Hour

// Window divides time into reporting windows of equal length, aligned to the Unix epoch.
type Window struct {
	// Length is truncated to whole seconds. A value below one second means DefaultWindowLength.
	Length time.Duration
}

func (w Window) length() time.Duration {
	if w.Length < time.Second {
		return DefaultWindowLength
	}
	return w.Length.Truncate(time.Second)
}

// Start returns the start of the window that contains now, in UTC.
func (w Window) Start(now time.Time) time.Time {
	seconds := int64(w.length() / time.Second)
	unix := now.Unix()
	offset := unix % seconds
	if offset < 0 {
		offset += seconds
	}
	return time.Unix(unix-offset, 0).UTC()
}

// End returns the end of the window that begins at start. The end is exclusive.
func (w Window) End(start time.Time) time.Time { return start.Add(w.length()) }

// WindowKey returns the name of a window in row keys and reports. The names sort by time.
func WindowKey(start time.Time) string { return start.UTC().Format(time.RFC3339) }

// ParseWindowKey parses a name returned by WindowKey and returns the start of the window.
func ParseWindowKey(key string) (time.Time, error) {
	start, err := time.Parse(time.RFC3339, key)
	if err != nil {
		return time.Time{}, eris.Wrapf(err, "window %q is not an RFC 3339 time", key)
	}
	return start.UTC(), nil
}
