package samples

import (
	"slices"

	"github.com/radishshelf/radishshelf/dataplane"
)

// VersionSpans returns the version spans of a generation with adjacent spans of the same version merged, or the reason
// why the generation must be discarded.
func VersionSpans(result dataplane.Result) ([]dataplane.Span, Reason) {
	if result.DiscardReason != "" {
		return nil, Reason(result.DiscardReason)
	}
	if reason := validateSpans(result.Spans); reason != "" {
		return nil, reason
	}
	if countTokens(result.Spans) != result.CompletionTokens {
		return nil, ReasonTokenMismatch
	}
	return mergeAdjacent(result.Spans), ""
}

func validateSpans(spans []dataplane.Span) Reason {
	if len(spans) == 0 {
		return ReasonNoSpans
	}
	for _, span := range spans {
		if span.Version <= 0 {
			return ReasonUnknownVersion
		}
		if span.Tokens <= 0 {
			return ReasonEmptySpan
		}
	}
	return ""
}

func countTokens(spans []dataplane.Span) int64 {
	var tokens int64
	for _, span := range spans {
		tokens += int64(span.Tokens)
	}
	return tokens
}

func mergeAdjacent(spans []dataplane.Span) []dataplane.Span {
	out := slices.Clone(spans[:1])
	for _, span := range spans[1:] {
		last := &out[len(out)-1]
		if last.Version == span.Version {
			last.Tokens += span.Tokens
			continue
		}
		out = append(out, span)
	}
	return out
}
