// Package httpstatus says which statuses a response may have, and which of them count as success. Every client of
// this project that passes a response on, or concludes from one that a call took effect, asks it.
//
// net/http accepts every status of three characters that strconv.Atoi parses, such as 000, 099, +12, 600 and 999. Bytes
// with such a status are no response: whether the request ran is unknown.
package httpstatus
