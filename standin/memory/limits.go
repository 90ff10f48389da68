package memory

import (
	"strconv"

	"github.com/radishshelf/radishshelf/hosting"
)

// Limits of the services.
const (
	MaxKeyBytes    = 512
	MaxValueBytes  = 1 << 20
	MaxTxnRows     = 128
	MaxScanRows    = 1000
	MaxObjectBytes = 64 << 20
	MaxBlobBytes   = 1 << 30
)

// checkTxn checks the limits of a transaction and that it writes no row twice.
func checkTxn(txn hosting.Txn) error {
	if len(txn.Conditions)+len(txn.Puts)+len(txn.Deletes) > MaxTxnRows {
		return invalid(opCommit, "the transaction names more than "+strconv.Itoa(MaxTxnRows)+" rows", "split it")
	}
	writtenKeys := make(map[string]bool, len(txn.Puts)+len(txn.Deletes))
	for _, put := range txn.Puts {
		if len(put.Value) > MaxValueBytes {
			return invalid(opCommit, "the value of "+put.Key+" exceeds "+strconv.Itoa(MaxValueBytes)+" bytes",
				"keep large content in the object store")
		}
		if err := checkWrittenKey(put.Key, writtenKeys); err != nil {
			return err
		}
	}
	for _, key := range txn.Deletes {
		if err := checkWrittenKey(key, writtenKeys); err != nil {
			return err
		}
	}
	return nil
}

// checkWrittenKey checks key and adds it to writtenKeys, or returns an error if it is in there already.
func checkWrittenKey(key string, writtenKeys map[string]bool) error {
	if err := checkKey(opCommit, key); err != nil {
		return err
	}
	if writtenKeys[key] {
		return invalid(opCommit, "row "+key+" is written twice", "name each row once")
	}
	writtenKeys[key] = true
	return nil
}

func checkKey(op, key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return invalid(op, "the key is empty or longer than "+strconv.Itoa(MaxKeyBytes)+" bytes", "use a shorter key")
	}
	return nil
}
