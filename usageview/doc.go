// Package usageview lists the state of the usage windows for operators. It reads the batch, closing, sealed and
// reported rows of the table and writes nothing.
package usageview
