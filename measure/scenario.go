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
	Name    string
	Against string
	// AnyUser is set where the sizes of the user do not matter; the table then has one row for both.
	AnyUser bool
	// Sizes are the fleets to measure; nil means both users.
	Sizes []User
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
		StalenessScenario(lots.OrderFreshest, 0),
		StalenessScenario(lots.OrderOldest, 1),
		StalenessScenario(lots.OrderOldest, 1.5),
		StalenessScenario(lots.OrderFreshest, 1),
		RecoveryScenario(false),
		RecoveryScenario(true),
	}
}
