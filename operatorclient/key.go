package operatorclient

// KeyRequest requests a key for a workspace or a trainer.
type KeyRequest struct {
	Workspace string `json:"workspace,omitempty"`
	Trainer   string `json:"trainer,omitempty"`
}

// KeyGrant is the response to a KeyRequest. It is the only place where the secret appears.
type KeyGrant struct {
	ChangeResult
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

// KeyInfo describes a key without its secret.
type KeyInfo struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace,omitempty"`
	Trainer   string `json:"trainer,omitempty"`
	Withdrawn bool   `json:"withdrawn"`
	GrantedAt string `json:"granted_at,omitempty"`
	// LastUse is the last use that the queried entry has seen, in RFC 3339, UTC; empty when it has seen none.
	LastUse  string `json:"last_use,omitempty"`
	Revision int64  `json:"revision"`
}
