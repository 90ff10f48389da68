package fleetconfig

// Kind is the type of a configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindDefaults  Kind = "defaults"
	KindException Kind = "exception"
	KindPolicy    Kind = "policy"
	KindWorkspace Kind = "workspace"
	KindKey       Kind = "key"
	KindRoute     Kind = "route"
	KindUpstream  Kind = "upstream"
	KindTrainer   Kind = "trainer"
	KindRollout   Kind = "rollout"
)

// Kinds returns all kinds in the order in which they are shown to operators.
func Kinds() []Kind {
	return []Kind{
		KindDefaults, KindException, KindPolicy, KindWorkspace, KindKey, KindRoute, KindUpstream, KindTrainer,
		KindRollout,
	}
}
