package jsonshape

import (
	"maps"
	"reflect"
	"slices"
)

// maxEdits is how many letters a misspelt name differs by. A third one would make other names of the format, which this
// program does not read, resemble its fields.
const maxEdits = 2

// misspelt returns the absent field that a name resembles most, the first one in the alphabet among equals. Short names
// resemble anything, so at least three quarters of the letters must be the same.
func misspelt(name string, fields map[string]reflect.Type, present map[string]bool) (string, bool) {
	best, bestEdits := "", maxEdits+1
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if n := edits(name, field); !present[field] && n < bestEdits && 4*n <= len(field) {
			best, bestEdits = field, n
		}
	}
	return best, best != ""
}

// edits returns how many letters must be inserted, removed or replaced to make one name the other.
func edits(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
