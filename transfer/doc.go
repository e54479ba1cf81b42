// Package transfer moves bodies that occupy an instance's link for a noticeable time. Senders limit
// how many they send at once and tell others when to ask again. Receivers end a transfer that
// makes no progress, however long one may take in total: a total time limit would discard what has
// arrived over a slow link.
package transfer
