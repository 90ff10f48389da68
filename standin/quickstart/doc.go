// Package quickstart runs end-to-end checks against a small fleet started by scripts/quickstart.sh. It uses the interfaces of
// callers, trainers and operators, and prints a one-line summary of each step.
package quickstart
