package measure

import "github.com/radishshelf/radishshelf/lots"

// Direction says which value of a figure is better.
type Direction int

// Directions of a figure.
const (
	LowerIsBetter Direction = iota
	HigherIsBetter
	// Informative figures are neither better nor worse.
	Informative
)

// Figure is one measured value of the policy beside that of the baseline.
type Figure struct {
	Name      string
	Unit      string
	Direction Direction
	Policy    float64
	Baseline  float64
}

// Scenario compares one policy with one baseline.
type Scenario struct {
	// Name and Against are printed above the figures.
	Name     string
	Baseline string
	// SizeIndependent is set where the sizes of the user do not matter; the table then has one row for both.
	SizeIndependent bool
	// Fleets are the fleets to measure; nil means both users.
	Fleets []User
	// Run measures one user with one seed.
	Run func(u User, seed int64) []Figure
}

// Scenarios returns all comparisons in the order of the table.
func Scenarios() []Scenario {
	return []Scenario{
		RoutingScenario(),
		FairnessScenario(),
		DeadlineScenario(1.5),
		DeadlineScenario(3),
		GroupsScenario(),
		SuspectsScenario(0.3),
		SuspectsScenario(0.7),
		QuotaScenario(true),
		QuotaScenario(false),
		OrdersScenario(),
		WeightsScenario(),
		StalenessScenario(lots.Freshest, 0),
		StalenessScenario(lots.Oldest, 1),
		StalenessScenario(lots.Oldest, 1.5),
		StalenessScenario(lots.Freshest, 1),
		RecoveryScenario(false),
		RecoveryScenario(true),
	}
}
