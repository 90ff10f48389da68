// Package rolloutmanager runs weight rollouts for the holder of the role "rollout": it reads the versions that trainers
// published and writes the rollout objects that package rollout plans.
package rolloutmanager
