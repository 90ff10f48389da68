package measure

import "github.com/radishshelf/radishshelf/lots"

// Direction says whether lower or higher values of a figure are better.
type Direction int

// Possible values of Direction.
const (
	LowerIsBetter Direction = iota
	HigherIsBetter
	// Informative figures are neither better nor worse.
	Informative
)

// Figure is one metric with its value under the policy and under the baseline.
type Figure struct {
	Name      string
	Unit      string
	Direction Direction
	Policy    float64
	Baseline  float64
}

// Scenario compares one policy with one baseline.
type Scenario struct {
	// Name and Baseline describe the scenario and its baseline; both are printed above the figures.
	Name     string
	Baseline string
	// SizeIndependent is set if the result does not depend on the user; the table then has one row for both users.
	SizeIndependent bool
	// Fleets are the fleets to simulate; nil means both users.
	Fleets []User
	// Run simulates one user with one seed.
	Run func(u User, seed int64) []Figure
}

// Scenarios returns all scenarios in the order of the table.
func Scenarios() []Scenario {
	list := []Scenario{
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
	for _, p := range LoadPatterns() {
		list = append(list, EvenLoadScenario(p))
	}
	return list
}
