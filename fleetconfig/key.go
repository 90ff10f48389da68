package fleetconfig

import (
	"crypto/sha256"
	"encoding/hex"
)

// Key grants a workspace or a trainer access. The secret is never stored. The object's name is the key's id.
type Key struct {
	// SecretHash is HashSecret of the secret.
	SecretHash string `json:"secret_hash"`
	// Workspace or Trainer is set, never both.
	Workspace string `json:"workspace,omitempty"`
	Trainer   string `json:"trainer,omitempty"`
	// Withdrawn keys are refused.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// GrantedAt is in RFC 3339, UTC.
	GrantedAt string `json:"granted_at,omitempty"`
}

// HashSecret returns the SHA-256 of a secret in hex.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
