// Package usagestore stores usage in the platform's table and reports it. Agents flush batches, entries write recovery
// batches, and the holder of role usage closes, seals and reports each window.
//
// Invariant: once usage/closing/<window> exists, no batch row is added to the window, so that every process that seals
// it reads the same batches. Once usage/sealed/<window> exists, its bytes never change.
package usagestore

import (
	"net/url"
	"strings"

	"github.com/radishshelf/radishshelf/usage"
)

const (
	batchPrefix    = "usage/batch/"
	closingPrefix  = "usage/closing/"
	sealedPrefix   = "usage/sealed/"
	reportedPrefix = "usage/reported/"
	// keptPrefix is the prefix of the copies of unreadable batch rows. It is no longer than batchPrefix, so that the key of
	// a copy is within the table's limit.
	keptPrefix = "usage/kept/"
	// countedKey is the row with the usage.DedupState of the latest seal.
	countedKey = "usage/counted"
	// maxKeySuffix sorts after every character that occurs in a key.
	maxKeySuffix = "\xff"
)

func batchKey(window string, b usage.Batch) string {
	return batchPrefix + window + "/" + url.PathEscape(b.Agent) + "/" + url.PathEscape(b.ID())
}

func closingKey(window string) string { return closingPrefix + window }

func sealedKey(window string) string { return sealedPrefix + window }

func reportedKey(window, workspace string) string {
	return reportedPrefix + window + "/" + url.PathEscape(workspace)
}

// keptKey returns the key of the copy of an unreadable batch row.
func keptKey(batchKey string) string { return keptPrefix + strings.TrimPrefix(batchKey, batchPrefix) }

// windowOfBatch returns the window of a batch row.
func windowOfBatch(key string) string {
	window, _, _ := strings.Cut(strings.TrimPrefix(key, batchPrefix), "/")
	return window
}
