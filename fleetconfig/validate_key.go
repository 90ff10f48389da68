package fleetconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

func (k *Key) validate(c *checker) {
	sum, err := hex.DecodeString(k.SecretHash)
	if err != nil || len(sum) != sha256.Size {
		c.add("secret_hash", "the value is not a hexadecimal SHA-256 hash", "grant the key through the operator interface")
	}
	if id, _, ok := c.view.KeyByHash(k.SecretHash); ok && id != c.name {
		c.add("secret_hash", "key \""+id+"\" has the same secret", "grant a new key")
	}
	if (k.Workspace == "") == (k.Trainer == "") {
		c.add("workspace", "exactly one of workspace and trainer must be set", "set one of them and leave the other empty")
	}
	c.requireExists("workspace", KindWorkspace, k.Workspace)
	c.requireExists("trainer", KindTrainer, k.Trainer)
	if k.GrantedAt != "" {
		if _, err := time.Parse(time.RFC3339, k.GrantedAt); err != nil {
			c.add("granted_at", "the value is not an RFC 3339 time", `write RFC 3339 in UTC, for example "2026-01-02T15:04:05Z"`)
		}
	}
}
