package quarantine

import (
	"cmp"
	"slices"

	"github.com/radishshelf/radishshelf/rendezvous"
)

// IsolationSlot is where and when one of several processes reruns the requests that ran on an upstream when it ended. One
// of these requests may be the cause of the end, and no process knows the requests of the others.
type IsolationSlot struct {
	// Upstreams lists the IDs of the upstreams that the process uses; empty if there is none to use.
	Upstreams []string
	// Turn is the number of other processes that use the same upstreams before this one.
	Turn int
}

// NewIsolationSlot divides the remaining upstreams among the processes after an end. Processes with the same views of both
// get slots that differ in the upstreams or in the turn, without exchanging any message.
func NewIsolationSlot(ended UpstreamIncarnation, process string, processes, remaining []string) IsolationSlot {
	if len(remaining) == 0 {
		return IsolationSlot{}
	}
	subject := ended.Upstream + "/" + ended.Incarnation
	upstreams := ranked(subject, remaining)
	rank := max(slices.Index(ranked(subject, processes), process), 0)
	if rank >= len(upstreams) {
		return IsolationSlot{Upstreams: []string{upstreams[rank%len(upstreams)]}, Turn: rank / len(upstreams)}
	}
	var slot IsolationSlot
	for i := rank; i < len(upstreams); i += max(len(processes), 1) {
		slot.Upstreams = append(slot.Upstreams, upstreams[i])
	}
	return slot
}

// ranked returns the candidates by descending rendezvous weight for a subject.
func ranked(subject string, candidates []string) []string {
	return slices.SortedFunc(slices.Values(candidates), func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Weight(subject, b), rendezvous.Weight(subject, a)), cmp.Compare(a, b))
	})
}
