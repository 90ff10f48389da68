// Package lotstore stores sample groups and lots in the platform's table and object store.
//
// Invariants: AddGroup returns nil only once the content and the rows are durable; a group row is written once, so if
// several entries complete the same group, the first write is kept; every change of a trainer's lot sequence is a
// compare-and-swap of lots/<trainer>/head.
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

// readyPrefix is the key prefix of the rows that list ready groups by time. They are separate from the group rows,
// which are kept for Options.Retention to detect groups that are added again.
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
