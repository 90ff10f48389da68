package placement

import (
	"fmt"
	"slices"
	"testing"
)

// fleet returns hosts of which every third has a large share of a processor.
func fleet(n int) []Host {
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[i] = Host{Name: fmt.Sprintf("h%03d", i), Region: "north", CPUShare: 0.2}
		if i%3 == 0 {
			hosts[i].CPUShare = 0.8
		}
	}
	return hosts
}

// choose lets one host of a fleet choose.
func choose(trainer string, hosts []Host, self, items int) Host {
	others := slices.Clone(hosts)
	return ChooseOwner(trainer, hosts[self], slices.Delete(others, self, self+1), items)
}

// Pattern: the steps of a trainer arrive at another host each time, and each host opens its own connections to all engines.
func TestJobsOfOneTrainerHaveOneOwner(t *testing.T) {
	hosts := fleet(88)
	want := choose("trainer", hosts, 0, 100)
	for self := range hosts {
		if got := choose("trainer", hosts, self, 100); got.Name != want.Name {
			t.Fatalf("%s gives the job to %s, %s to %s", hosts[self].Name, got.Name, hosts[0].Name, want.Name)
		}
	}
	without := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Name == "h001" })
	if want.Name != "h001" {
		if got := choose("trainer", without, 0, 100); got.Name != want.Name {
			t.Errorf("the loss of another host moves the jobs from %s to %s", want.Name, got.Name)
		}
	}
}

// Guards against a herd: all trainers on the largest host, or on one that cannot carry their jobs.
func TestTrainersSpreadByCPUShare(t *testing.T) {
	hosts := fleet(90)
	const trainers = 400
	owned := map[string]int{}
	for i := range trainers {
		owner := choose(fmt.Sprint("trainer-", i), hosts, i%len(hosts), 200)
		if owner.loadWith(200) > maxItemsPerCore {
			t.Fatalf("%s cannot carry the job", owner.Name)
		}
		owned[owner.Name]++
	}
	// 30 hosts can carry such a job; an even share is 13.
	for name, n := range owned {
		if n > 3*trainers/30 {
			t.Errorf("%s has %d of %d trainers", name, n, trainers)
		}
	}
}

// Guards against a job at a host that is busy with earlier ones, and against one that leaves its region for less than half
// of the load.
func TestOverloadedHostIsNotChosen(t *testing.T) {
	hosts := fleet(9)
	first := choose("trainer", hosts, 0, 100)
	for i := range hosts {
		if hosts[i].Name == first.Name {
			hosts[i].Items = 1000
		}
	}
	if second := choose("trainer", hosts, 0, 100); second.Name == first.Name || second.loadWith(100) > maxItemsPerCore {
		t.Errorf("the job goes to %s with %.0f items a core", second.Name, second.loadWith(100))
	}
	self := Host{Name: "self", Region: "north", CPUShare: 0.1, Items: 60}
	far := Host{Name: "far", Region: "south", CPUShare: 0.1, Items: 40}
	if got := ChooseOwner("trainer", self, []Host{far}, 60); got.Name != "self" {
		t.Errorf("the job goes to %s for a small gain", got.Name)
	}
	far.CPUShare = 0.8
	if got := ChooseOwner("trainer", self, []Host{far}, 60); got.Name != "far" {
		t.Errorf("the job stays at %s, which cannot carry it", got.Name)
	}
}
