package engineapi

import "strings"

// PromptText joins the roles and contents of the messages of a prompt into one text.
func PromptText(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte(0)
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}
