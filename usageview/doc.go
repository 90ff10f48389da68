// Package usageview shows operators the state of the usage windows. It reads the closing, sealed and reported rows of
// the table and writes nothing.
package usageview
