package engineapi

import "strings"

// PromptText joins the messages of a prompt.
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
