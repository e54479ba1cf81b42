package registry

import "cmp"

// Offset counts the changes of the log: a registry at offset n has applied all
// changes before n.
type Offset int64

// Epoch counts how often the log was restored from an older copy. Offsets of different epochs
// have nothing to do with each other. It is 0 where the log does not tell it.
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

// After tells whether the position is later than another.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// Later is the later one of two positions.
func Later(a, b Position) Position {
	if b.After(a) {
		return b
	}
	return a
}
