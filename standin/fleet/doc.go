// Package fleet is a test harness that runs the built binaries as separate processes. It generates their settings files,
// starts, stops, kills and freezes the processes, and can partition them with TCP relays. The stand-in platform runs in the
// test process and records the arrival time of each usage report and order.
package fleet
