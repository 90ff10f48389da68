// Package rolloutmanager runs weight rollouts on the holder of the role "rollout": it reads the versions that trainers
// have published and writes the rollout objects planned by package rollout.
package rolloutmanager
