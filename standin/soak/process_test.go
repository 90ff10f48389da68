package soak

import "testing"

// Guards against simultaneous runs, of one seed or of two whose subnets coincide, that use the same addresses for their
// gateways. Claims in one process stand for runs.
func TestSimultaneousRunsHaveDistinctSubnets(t *testing.T) {
	claimed := map[int]bool{}
	for _, seed := range []uint64{7001, 7001, 7001 + subnetCount} {
		subnet, guard, err := claimSubnet(seed)
		if err != nil {
			t.Fatal(err)
		}
		defer guard.Close()
		if claimed[subnet] {
			t.Errorf("subnet %d is claimed twice", subnet)
		}
		claimed[subnet] = true
	}
}
