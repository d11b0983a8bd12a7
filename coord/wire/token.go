package wire

// bytesPerToken is the average size of a token of text.
const bytesPerToken = 4

// Tokens estimates the number of tokens of a text from its size in bytes.
func Tokens(size int) int64 {
	return int64(size+bytesPerToken-1) / bytesPerToken
}
