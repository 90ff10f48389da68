package slopes

import (
	"encoding/json"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// dataSecret is the key that the data path requests present.
const dataSecret = "secret-of-the-measured-workspace"

// fixedConfig is a fresh configuration that does not change.
type fixedConfig struct{ view *fleetconfig.View }

func newFixedConfig() fixedConfig {
	state := fleetconfig.NewState()
	var objects []fleetconfig.Object
	for name, value := range map[fleetconfig.Kind]any{
		fleetconfig.KindWorkspace: fleetconfig.Workspace{TokensPerSecond: 1e9},
		fleetconfig.KindKey:       fleetconfig.Key{SecretHash: fleetconfig.HashSecret(dataSecret), Workspace: "planner"},
		fleetconfig.KindPolicy:    fleetconfig.Policy{},
	} {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err) // these types always encode
		}
		objects = append(objects, fleetconfig.Object{Kind: name, Name: "planner", Revision: int64(len(objects) + 1), Value: raw})
	}
	state.Apply(objects)
	return fixedConfig{view: state.View()}
}

func (c fixedConfig) View() *fleetconfig.View { return c.view }

func (fixedConfig) MayServeKeyed(time.Time) bool { return true }

func (fixedConfig) Subscribe(func([]fleetconfig.Object)) {}
