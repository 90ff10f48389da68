package operatorapi

import (
	"time"

	"github.com/rs/zerolog"
)

// defaultInForceTimeout is the time within which a change has to be in force everywhere.
const defaultInForceTimeout = 16 * time.Second

// Options configure the operator interface. A nil source answers that the entry does not offer it.
type Options struct {
	Writer    ConfigWriter
	Reader    ConfigReader
	Hosts     HostSource
	Roles     RoleSource
	Usage     UsageSource
	Versions  VersionSource
	Decisions DecisionSource
	KeyUse    KeyUseSource
	// Token is the credential that operators present as a bearer token; none is asked for when empty.
	Token string
	// InForceTimeout is how long an answer waits for a change to be in force; 16 s when zero.
	InForceTimeout time.Duration
	Logger         zerolog.Logger
}
