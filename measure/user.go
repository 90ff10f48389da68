package measure

import "time"

// User describes the fleet of one user, as in section 1 of the design page, and assumptions about its traffic.
type User struct {
	Name string
	// Regions lists the regions; each has one data centre.
	Regions          []string
	EnginesPerRegion int
	// ClientDelay and CrossRegionDelay are one-way network delays.
	ClientDelay      time.Duration
	CrossRegionDelay time.Duration
	// RegionWeights holds the relative traffic of each region.
	RegionWeights []float64
	// WorkspaceWeights holds the weights of the eight workspaces, a few of them large.
	WorkspaceWeights []float64
	// PrefixBlocks is the length of the shared prefix of prompts and MeanResponseTokens the mean length of responses.
	PrefixBlocks       int
	MeanResponseTokens float64
}

// Users returns both users with their current fleet sizes.
func Users() []User {
	return []User{
		{
			Name: "Hraunvegur", Regions: []string{"sudur", "nordur", "austur"}, EnginesPerRegion: 3,
			ClientDelay: time.Millisecond, CrossRegionDelay: 20 * time.Millisecond, RegionWeights: []float64{5, 3, 2},
			WorkspaceWeights: []float64{4, 3, 2, 1, 1, 1, 1, 1}, PrefixBlocks: 24, MeanResponseTokens: 150,
		},
		{
			Name: "Verband", Regions: []string{"tirol", "steiermark", "wien"}, EnginesPerRegion: 3,
			ClientDelay: 3 * time.Millisecond, CrossRegionDelay: 20 * time.Millisecond, RegionWeights: []float64{4, 3, 3},
			WorkspaceWeights: []float64{3, 3, 1, 1, 1, 1, 1, 1}, PrefixBlocks: 40, MeanResponseTokens: 300,
		},
	}
}

// Engines creates the user's engines.
func (u User) Engines(s *Sim, cfg EngineConfig) []*Engine {
	var engines []*Engine
	for r, region := range u.Regions {
		for i := range u.EnginesPerRegion {
			engines = append(engines, NewEngine(s, engineName(region, i), r, cfg))
		}
	}
	return engines
}

func engineName(region string, i int) string { return region + "-" + string(rune('1'+i)) }
