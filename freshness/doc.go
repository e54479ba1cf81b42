// Package freshness decides as of when an instance knows the store's log, from whom, and by when it has to look
// elsewhere.
//
// A few instances of each zone, its readers, read the log, and the others follow them: they take the changes from
// the readers, and rely on what these tell of themselves. A reader vouches for its followers as long as it is
// heard, had an answer to each read of both streams, and knows them as of a time that is not long ago. When
// nobody vouches any more, other instances read in place of the readers, one after the other by rank. Whether the
// store is available is told by what calls met, never by a reader's silence.
//
// The decisions are functions of a state and of what is known at a moment. They have no clock and no network;
// package statesync carries them out.
package freshness
