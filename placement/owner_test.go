package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/homes"
)

// fleet returns hosts of which every third has a large CPU share.
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

// choose returns the choice of one host of a fleet.
func choose(trainer string, hosts []Host, self, items int) Host {
	others := slices.Clone(hosts)
	return ChooseOwner(trainer, hosts[self], slices.Delete(others, self, self+1), homes.Regions{}, items)
}

// Guards against jobs of a trainer that move between hosts, each of which opens its own connections to all engines,
// when the steps of the trainer arrive at a different host each time.
func TestJobsOfOneTrainerHaveOneOwner(t *testing.T) {
	hosts := fleet(88)
	want := choose("trainer", hosts, 0, 100)
	for self := range hosts {
		if got := choose("trainer", hosts, self, 100); got.Name != want.Name {
			t.Fatalf("%s chooses %s, %s chooses %s", hosts[self].Name, got.Name, hosts[0].Name, want.Name)
		}
	}
	without := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Name == "h001" })
	if want.Name != "h001" {
		if got := choose("trainer", without, 0, 100); got.Name != want.Name {
			t.Errorf("the loss of another host moves the job from %s to %s", want.Name, got.Name)
		}
	}
}

// Guards against all trainers being placed on the largest host, or on a host without capacity for their jobs.
func TestTrainersSpreadByCPUShare(t *testing.T) {
	hosts := fleet(90)
	const trainers = 400
	owned := map[string]int{}
	for i := range trainers {
		owner := choose(fmt.Sprint("trainer-", i), hosts, i%len(hosts), 200)
		if owner.loadWith(200) > maxItemsPerCore {
			t.Fatalf("%s has no capacity for the job", owner.Name)
		}
		owned[owner.Name]++
	}
	// 30 hosts have capacity for such a job; an even share is 13.
	for name, n := range owned {
		if n > 3*trainers/30 {
			t.Errorf("%s has %d of %d trainers", name, n, trainers)
		}
	}
}

// Guards against a job being placed on a host that is busy with earlier jobs, and against a job that leaves its region
// only because the load elsewhere is lower.
func TestOverloadedHostIsNotChosen(t *testing.T) {
	hosts := fleet(9)
	first := choose("trainer", hosts, 0, 100)
	for i := range hosts {
		if hosts[i].Name == first.Name {
			hosts[i].Items = 1000
		}
	}
	if second := choose("trainer", hosts, 0, 100); second.Name == first.Name || second.loadWith(100) > maxItemsPerCore {
		t.Errorf("the job goes to %s with %.0f items per core", second.Name, second.loadWith(100))
	}
	self := Host{Name: "self", Region: "north", CPUShare: 0.1, Items: 60}
	far := Host{Name: "far", Region: "south", CPUShare: 0.1, Items: 40}
	if got := ChooseOwner("trainer", self, []Host{far}, homes.Regions{}, 60); got.Name != "self" {
		t.Errorf("the job leaves its region for %s, which has no capacity either", got.Name)
	}
	far.CPUShare = 0.8
	if got := ChooseOwner("trainer", self, []Host{far}, homes.Regions{}, 60); got.Name != "far" {
		t.Errorf("the job stays at %s, which has no capacity for it", got.Name)
	}
}

// Guards against a job whose owner is outside of its homes, other than the host that its caller handed it to.
func TestOwnerIsAtHomeOrTheAcceptor(t *testing.T) {
	regions := []string{"north", "south", "west"}
	rapid.Check(t, func(t *rapid.T) {
		home := homes.Only(rapid.SliceOfDistinct(rapid.SampledFrom(regions), rapid.ID[string]).Draw(t, "homes")...)
		host := func(i int) Host {
			return Host{
				Name: fmt.Sprint("h", i), Region: rapid.SampledFrom(regions).Draw(t, "region"),
				CPUShare: rapid.SampledFrom([]float64{0.05, 0.2, 0.8}).Draw(t, "share"), Items: rapid.IntRange(0, 900).Draw(t, "items"),
			}
		}
		self := host(0)
		var others []Host
		idleHome := false
		for i := range rapid.IntRange(0, 6).Draw(t, "others") {
			others = append(others, host(i+1))
			idleHome = idleHome || home.Allows(others[i].Region) && others[i].loadWith(50) <= maxItemsPerCore
		}
		owner := ChooseOwner("trainer", self, others, home, 50)
		if owner.Name != self.Name && !home.Allows(owner.Region) {
			t.Fatalf("%+v owns a job of %v", owner, home.List())
		}
		if idleHome && !home.Allows(owner.Region) {
			t.Fatalf("the job stays at %+v though a host at home has capacity", owner)
		}
	})
}
