package measure

import "time"

// User holds the sizes of one user from section 1 of the design page, and assumptions on the shape of the traffic.
type User struct {
	Name string
	// Regions have one data centre each.
	Regions          []string
	EnginesPerRegion int
	// ToClient and CrossRegion are one-way delays.
	ToClient    time.Duration
	CrossRegion time.Duration
	// RegionShare is each region's part of the traffic.
	RegionShare []float64
	// Weights of the eight workspaces, a few of them large.
	Weights []float64
	// PrefixBlocks is the length of the shared beginning of prompts and AnswerTokens the mean length of answers.
	PrefixBlocks int
	AnswerTokens float64
}

// Users returns both users at today's sizes.
func Users() []User {
	return []User{
		{
			Name: "Hraunvegur", Regions: []string{"sudur", "nordur", "austur"}, EnginesPerRegion: 3,
			ToClient: time.Millisecond, CrossRegion: 20 * time.Millisecond, RegionShare: []float64{5, 3, 2},
			Weights: []float64{4, 3, 2, 1, 1, 1, 1, 1}, PrefixBlocks: 24, AnswerTokens: 150,
		},
		{
			Name: "Verband", Regions: []string{"tirol", "steiermark", "wien"}, EnginesPerRegion: 3,
			ToClient: 3 * time.Millisecond, CrossRegion: 20 * time.Millisecond, RegionShare: []float64{4, 3, 3},
			Weights: []float64{3, 3, 1, 1, 1, 1, 1, 1}, PrefixBlocks: 40, AnswerTokens: 300,
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
