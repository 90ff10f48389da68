// Package lotstore keeps sample groups and lots in the platform's table and object store.
//
// Invariants: AddGroup returns nil only when content and rows are durable; the row of a group is written once, so the
// first of several entries that finish the same group wins; every change of a trainer's sequence is a compare-and-swap
// of lots/<trainer>/head.
package lotstore

import (
	"fmt"
	"net/url"
	"time"
)

func trainerPrefix(trainer string) string { return "lots/" + url.PathEscape(trainer) + "/" }

func headKey(trainer string) string { return trainerPrefix(trainer) + "head" }

func groupKey(trainer, group string) string {
	return trainerPrefix(trainer) + "group/" + url.PathEscape(group)
}

// readyPrefix begins the rows that list ready groups by time. They are apart from the group rows, which stay for
// Options.Retention to recognise a group that is added again.
func readyPrefix(trainer string) string { return trainerPrefix(trainer) + "ready/" }

func readyKey(trainer, group string, now time.Time) string {
	return fmt.Sprintf("%s%020d-%s", readyPrefix(trainer), now.UnixNano(), url.PathEscape(group))
}

func lotKey(trainer string, number int64) string {
	return fmt.Sprintf("%slot/%012d", trainerPrefix(trainer), number)
}

func discardKey(trainer string, number int64) string {
	return fmt.Sprintf("%sdiscard/%012d", trainerPrefix(trainer), number)
}
