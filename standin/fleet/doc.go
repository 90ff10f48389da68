// Package fleet is a test harness that runs the built binaries as separate processes: it generates their settings,
// starts, stops, kills and freezes them by process id, and puts TCP relays between them that can be cut. The stand-in
// platform runs in the test process, so that the arrival time of each report and order is known.
package fleet
