// Package quickstart checks the whole path of a small fleet that scripts/quickstart.sh started. It talks to the fleet
// as callers, trainers and operators do, and prints one line of figures for each step.
package quickstart
