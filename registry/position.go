package registry

import "cmp"

// Offset counts the changes of the log: a registry at offset n has applied all changes before n.
type Offset int64

// Epoch counts how often the log was restored from an older copy. Offsets of different epochs are
// not comparable. It is 0 if the log does not report it.
type Epoch int64

// Position is a place in the log.
type Position struct {
	Epoch  Epoch
	Offset Offset
}

// Compare orders positions by epoch, then offset.
func (p Position) Compare(other Position) int {
	if p.Epoch != other.Epoch {
		return cmp.Compare(p.Epoch, other.Epoch)
	}
	return cmp.Compare(p.Offset, other.Offset)
}

// After reports whether p is later than other.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// Later returns the later of two positions.
func Later(a, b Position) Position {
	if b.After(a) {
		return b
	}
	return a
}
