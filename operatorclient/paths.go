package operatorclient

// Paths of the operator interface.
const (
	PathConfig       = "/v1/config"
	PathKeys         = "/v1/keys"
	PathEffective    = "/v1/effective"
	PathEntries      = "/v1/entries"
	PathHosts        = "/v1/hosts"
	PathRoles        = "/v1/roles"
	PathUsageWindows = "/v1/usage-windows"
	PathVersions     = "/v1/versions"
	PathDecisions    = "/v1/decisions"
)

// ParamExpected is the query parameter with the revision that an object must have for a change.
const ParamExpected = "expected"
