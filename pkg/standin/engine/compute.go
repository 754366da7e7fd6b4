package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// vocabularySize is the number of distinct tokens.
	vocabularySize = 32000
	// activationBytes is the encoded size of the activation of one position.
	activationBytes = 8
	// EOSSuffix marks models whose output may end by itself. All other models generate as many
	// tokens as the client requests.
	EOSSuffix = "-ends"
	// meanEOSLength is the mean output length, in tokens, of models with EOSSuffix.
	meanEOSLength = 24
)

// Tokenise splits a prompt into words and returns their token IDs. An empty prompt has one token.
func Tokenise(prompt string) []uint32 {
	words := strings.Fields(prompt)
	if len(words) == 0 {
		words = []string{""}
	}
	tokens := make([]uint32, len(words))
	for i, word := range words {
		tokens[i] = uint32(xxhash.Sum64String(word) % vocabularySize)
	}
	return tokens
}

// TokenText returns the text of a generated token.
func TokenText(token uint32) string {
	return fmt.Sprintf("t%d ", token)
}

// ExpectedOutput returns the texts of the first n tokens that the complete model generates for a prompt.
// There are fewer if the output of a model with EOSSuffix ends before.
func ExpectedOutput(model string, layers int, prompt string, n int) []string {
	states := make([]uint64, layers)
	input := Tokenise(prompt)
	var texts []string
	for len(texts) < n {
		activations := runLayers(states, 0, embed(model, input))
		token, end := sample(model, activations[len(activations)-1])
		if end {
			break
		}
		texts = append(texts, TokenText(token))
		input = []uint32{token}
	}
	return texts
}

// embed returns the input of layer 0 for each token.
func embed(model string, tokens []uint32) []uint64 {
	seed := xxhash.Sum64String(model)
	activations := make([]uint64, len(tokens))
	for i, token := range tokens {
		activations[i] = mix(seed, uint64(token)+1)
	}
	return activations
}

// runLayers applies the layers [first, first+len(states)) to the activations, position by position.
// Each layer's state is its last output, so that the result depends on the order of positions too.
func runLayers(states []uint64, first int, activations []uint64) []uint64 {
	outputs := make([]uint64, len(activations))
	for i, a := range activations {
		for l := range states {
			a = mix(a, states[l]+uint64(first+l)+1)
			states[l] = a
		}
		outputs[i] = a
	}
	return outputs
}

// sample returns the token for the last activation, and whether the output ends before that token.
func sample(model string, activation uint64) (uint32, bool) {
	end := strings.HasSuffix(model, EOSSuffix) && (activation>>32)%meanEOSLength == 0
	return uint32(activation % vocabularySize), end
}

// mix hashes both values with the finaliser of SplitMix64. It is not commutative.
func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func encodeUint64s(values []uint64) []byte {
	data := make([]byte, 0, len(values)*activationBytes)
	for _, v := range values {
		data = binary.LittleEndian.AppendUint64(data, v)
	}
	return data
}

func decodeUint64s(data []byte) ([]uint64, bool) {
	if len(data)%activationBytes != 0 {
		return nil, false
	}
	values := make([]uint64, len(data)/activationBytes)
	for i := range values {
		values[i] = binary.LittleEndian.Uint64(data[i*activationBytes:])
	}
	return values, true
}
