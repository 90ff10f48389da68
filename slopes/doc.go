// Package slopes measures what each mechanism costs by the size that it depends on, and fits a line through the costs.
// docs/CAPACITY.md computes the design size from these lines.
//
// Everything runs in one process, over loopback or in memory, in real time. Processor time is that of the whole process;
// where both ends of a call run in it, the title says so.
package slopes
