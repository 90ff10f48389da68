package fleetconfig

import (
	"crypto/sha256"
	"encoding/hex"
)

// Key gives a workspace or a trainer access to the service. Its ID is the name of the object. The secret itself is
// never stored.
type Key struct {
	// SecretHash is the result of HashSecret for the secret.
	SecretHash string `json:"secret_hash"`
	// Exactly one of Workspace and Trainer is set.
	Workspace string `json:"workspace,omitempty"`
	Trainer   string `json:"trainer,omitempty"`
	// Withdrawn is set if the key is revoked; requests with it are refused.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// GrantedAt is when the key was granted, in RFC 3339 format and UTC.
	GrantedAt string `json:"granted_at,omitempty"`
}

// HashSecret returns the SHA-256 of a secret in hex.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
