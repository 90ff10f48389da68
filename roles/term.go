package roles

// TermKey returns the key of the term row of role, which is written only when the holder changes. Because renewals do
// not change it, its revision can guard the table transactions of a holder.
func TermKey(role string) string { return "term/" + role }
