// Package tokens estimates the number of tokens of a text.
package tokens

// BytesPerToken is the mean length of a token, in bytes.
const BytesPerToken = 4

// Estimate returns the estimated tokens of a text, at least 1.
func Estimate(text string) int {
	return max(1, len(text)/BytesPerToken)
}
