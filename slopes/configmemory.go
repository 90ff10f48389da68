package slopes

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strconv"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// measureConfigMemory shows the memory of the configuration, and the cost of one change, by objects of each kind.
func measureConfigMemory(r *Report) error {
	r.heading("fleetconfig: state and view in memory")
	for _, kind := range []fleetconfig.Kind{fleetconfig.KindKey, fleetconfig.KindWorkspace, fleetconfig.KindUpstream} {
		memory := newSeries("fleetconfig.memory_"+string(kind), "objects", "B")
		change := newSeries("fleetconfig.cpu_per_change_"+string(kind), "objects", "us")
		for _, size := range []int{1000, 5000, 20000} {
			before := heapBytes()
			state := fleetconfig.NewState()
			state.Apply(configObjects(kind, size))
			view := state.View()
			memory.add(size, heapBytes()-before)
			change.add(size, costOfEach(5, func(i int) {
				object := configObject(kind, i)
				object.Revision = int64(size + i + 1)
				state.Apply([]fleetconfig.Object{object})
				view = state.View()
			}))
			runtime.KeepAlive(view)
		}
		r.print(memory, change)
	}
	return nil
}

func configObjects(kind fleetconfig.Kind, count int) []fleetconfig.Object {
	var objects []fleetconfig.Object
	for i := range count {
		objects = append(objects, configObject(kind, i))
	}
	return objects
}

func configObject(kind fleetconfig.Kind, i int) fleetconfig.Object {
	dc, region := place(i, 8)
	var value any
	switch kind {
	case fleetconfig.KindKey:
		value = fleetconfig.Key{
			SecretHash: fleetconfig.HashSecret(strconv.Itoa(i)), Workspace: "workspace-" + strconv.Itoa(i%100),
			GrantedAt: "2026-12-04T03:00:00Z",
		}
	case fleetconfig.KindWorkspace:
		value = fleetconfig.Workspace{Policies: []string{"planner"}, Routes: []string{"fare", "book"}, TokensPerSecond: 5000}
	default:
		value = fleetconfig.Upstream{
			AgentAddress: "10.1.2.3:7201", ControlAddress: "10.1.2.3:7202", DataCentre: dc, Region: region,
			Kind: fleetconfig.UpstreamEngine, Serves: "planner",
		}
	}
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // these types always encode
	}
	return fleetconfig.Object{Kind: kind, Name: fmt.Sprintf("%s-%06d", kind, i), Revision: int64(i + 1), Value: raw}
}
