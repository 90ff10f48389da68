// Package httpstatus says which statuses and headers a response may have, and which statuses count as success. Every
// client of this project has its transport.
//
// net/http accepts every status of three characters that strconv.Atoi parses, such as 000, 099, +12, 600 and 999, and
// header fields whose names hold spaces. Bytes with such a head are no response: whether the request ran is unknown.
package httpstatus
