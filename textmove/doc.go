// Package textmove decides when a text that is being generated moves to another engine. It does no I/O and reads no
// clock: observed paces and the current time go in, a decision comes out.
//
// A move is worth the time that the rest of the text saves. An engine that has been slow for a while is expected to stay
// slow for as long again, so a text leaves an engine early only if much of it remains, and a short slow period moves no
// text. The restart of the text at the other engine is subtracted, and each earlier move of the text raises what the
// next one has to save.
package textmove
