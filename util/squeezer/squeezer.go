// Package squeezer compresses short repetitive messages at little processor time.
//
// A squeezed message is a series of literal bytes and copies of earlier bytes, much as in LZ4: a
// token with the lengths of both, the rest of the first length, the literal bytes, the rest of the
// second length, and the distance of the copy in two bytes. Copies are at least four bytes long.
// The last part has no copy.
//
// # Usage
//
//	squeezed := squeezer.Squeeze(message)
//	message, ok := squeezer.Expand(squeezed, 1<<20)
package squeezer

import "encoding/binary"

const (
	minCopy = 4
	// tableBits is the size of the table of earlier positions.
	tableBits   = 13
	maxDistance = 1<<16 - 1
	// lengthMask is the largest length within a token. What exceeds it follows in bytes.
	lengthMask = 15
	moreLength = 255
)

// Squeeze returns a compressed message.
func Squeeze(message []byte) []byte {
	out := make([]byte, 0, len(message)/2+16)
	// Positions are stored plus one; zero stands for none.
	var table [1 << tableBits]int32
	literals := 0
	for at := 0; at+minCopy <= len(message); {
		value := binary.LittleEndian.Uint32(message[at:])
		entry := &table[value*2654435761>>(32-tableBits)]
		earlier := int(*entry) - 1
		*entry = int32(at + 1)
		if earlier < 0 || at-earlier > maxDistance || binary.LittleEndian.Uint32(message[earlier:]) != value {
			at++
			continue
		}
		length := minCopy
		for at+length < len(message) && message[earlier+length] == message[at+length] {
			length++
		}
		out = appendSequence(out, message[literals:at], length-minCopy)
		out = binary.LittleEndian.AppendUint16(out, uint16(at-earlier))
		at += length
		literals = at
	}
	return appendSequence(out, message[literals:], 0)
}

// appendSequence appends a token and literal bytes.
func appendSequence(out, literals []byte, copied int) []byte {
	out = append(out, byte(min(len(literals), lengthMask)<<4|min(copied, lengthMask)))
	out = append(appendLength(out, len(literals)), literals...)
	return appendLength(out, copied)
}

func appendLength(out []byte, length int) []byte {
	if length < lengthMask {
		return out
	}
	for length -= lengthMask; length >= moreLength; length -= moreLength {
		out = append(out, moreLength)
	}
	return append(out, byte(length))
}

// Expand returns the message, and false if it is malformed or longer than maxBytes.
func Expand(squeezed []byte, maxBytes int) ([]byte, bool) {
	out := make([]byte, 0, min(maxBytes, 4*len(squeezed)))
	for len(squeezed) > 0 {
		token := squeezed[0]
		literals, rest, ok := readLength(squeezed[1:], int(token>>4), maxBytes)
		if !ok || literals > len(rest) || len(out)+literals > maxBytes {
			return nil, false
		}
		out, rest = append(out, rest[:literals]...), rest[literals:]
		if len(rest) == 0 {
			return out, true
		}
		length, rest, ok := readLength(rest, int(token&lengthMask), maxBytes)
		if !ok || len(rest) < 2 {
			return nil, false
		}
		distance := int(binary.LittleEndian.Uint16(rest))
		squeezed, length = rest[2:], length+minCopy
		if distance == 0 || distance > len(out) || len(out)+length > maxBytes {
			return nil, false
		}
		for from := len(out) - distance; length > 0; {
			// A copy may overlap what it appends.
			n := min(length, len(out)-from)
			out = append(out, out[from:from+n]...)
			length -= n
		}
	}
	return nil, false
}

// readLength returns a length that begins with the given part, and what follows it.
func readLength(data []byte, length, maxBytes int) (int, []byte, bool) {
	if length < lengthMask {
		return length, data, true
	}
	for i, b := range data {
		if length += int(b); length > maxBytes {
			return 0, nil, false
		}
		if b < moreLength {
			return length, data[i+1:], true
		}
	}
	return 0, nil, false
}
