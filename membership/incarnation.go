package membership

import "slices"

// maxSuperseded bounds the incarnations remembered of one process. A delayed report is seconds old, and no process is
// replaced eight times in seconds.
const maxSuperseded = 8

// incarnationHistory is the succession of incarnations of one process. Incarnations are unique and carry no order of their own:
// the one seen first is the older one.
type incarnationHistory struct {
	current string
	// superseded incarnations, oldest first, do not come back while a newer one reports.
	superseded []string
}

func (l *incarnationHistory) isSuperseded(incarnation string) bool {
	return slices.Contains(l.superseded, incarnation)
}

// advance makes an incarnation the current one.
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
