package roles

// TermKey returns the key of the row that only a change of holder writes. Unlike the lease row it does not change with
// each renewal, so its revision guards the table transactions of a holder.
func TermKey(role string) string { return "term/" + role }
