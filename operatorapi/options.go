package operatorapi

import (
	"time"

	"github.com/rs/zerolog"
)

// defaultPropagationTimeout is the time within which a change has to be in force at every entry.
const defaultPropagationTimeout = 16 * time.Second

// Options configure the operator interface. A path whose source is nil responds that the entry does not offer it;
// without KeyUse, keys are listed without their last use.
type Options struct {
	Writer    ConfigWriter
	Reader    ConfigReader
	Hosts     HostSource
	Roles     RoleSource
	Usage     UsageSource
	Versions  VersionSource
	Decisions DecisionSource
	KeyUse    KeyUseSource
	// Token is the credential that operators send as a bearer token; none is required when empty.
	Token string
	// PropagationTimeout is how long a response waits for a change to be in force; 16 s when zero.
	PropagationTimeout time.Duration
	Logger             zerolog.Logger
}
