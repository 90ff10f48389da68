package measure

import "time"

// User holds the sizes of one user from section 1 of the design page, and assumptions on the shape of the traffic.
type User struct {
	Name string
	// Regions have one data centre each.
	Regions          []string
	EnginesPerRegion int
	// ClientDelay and CrossRegion are one-way delays.
	ClientDelay      time.Duration
	CrossRegionDelay time.Duration
	// RegionWeights is each region's part of the traffic.
	RegionWeights []float64
	// WorkspaceWeights of the eight workspaces, a few of them large.
	WorkspaceWeights []float64
	// PrefixBlocks is the length of the shared beginning of prompts and AnswerTokens the mean length of answers.
	PrefixBlocks       int
	MeanResponseTokens float64
}

// Users returns both users at today's sizes.
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

// Engines returns the user's engines.
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
