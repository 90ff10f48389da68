package membership

import "slices"

// maxSuperseded limits the number of previous incarnations remembered for each process. Delayed reports are only
// seconds old, and no process restarts eight times within seconds.
const maxSuperseded = 8

// incarnationHistory records the current and previous incarnations of one process. Incarnation identifiers are unique
// but not ordered; the incarnation seen first is the older one.
type incarnationHistory struct {
	current string
	// superseded holds previous incarnations, oldest first. Their reports are ignored while a newer incarnation reports.
	superseded []string
}

func (l *incarnationHistory) isSuperseded(incarnation string) bool {
	return slices.Contains(l.superseded, incarnation)
}

// advance makes incarnation the current one and marks the previous one as superseded.
func (l *incarnationHistory) advance(incarnation string) {
	if incarnation == l.current {
		return
	}
	l.superseded = slices.DeleteFunc(l.superseded, func(s string) bool { return s == incarnation })
	l.superseded = append(l.superseded, l.current)
	if len(l.superseded) > maxSuperseded {
		l.superseded = slices.Delete(l.superseded, 0, 1)
	}
	l.current = incarnation
}
