package ticket

import (
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
)

// RandomLen is the length of a ticket's random part, in bytes.
const RandomLen = 16

// ID is a ticket as callers carry it.
type ID struct {
	Customer fleet.CustomerID
	Home     fleet.Holder
	Random   string
}

// ErrMalformed tells that a text is not a ticket.
var ErrMalformed = errors.New("not an operation ticket")

// New returns a ticket with a random part of RandomLen bytes.
func New(customer fleet.CustomerID, home fleet.Holder, random [RandomLen]byte) ID {
	return ID{Customer: customer, Home: home, Random: hex.EncodeToString(random[:])}
}

// String writes "customer.instance.incarnation.random".
func (id ID) String() string {
	inc := strconv.FormatInt(int64(id.Home.Incarnation), 10)
	return strings.Join([]string{string(id.Customer), string(id.Home.Instance), inc, id.Random}, ".")
}

// Parse reads a ticket. Instance names may contain dots, customers may not.
func Parse(s string) (ID, error) {
	parts := strings.Split(s, ".")
	n := len(parts)
	if n < 4 || parts[0] == "" {
		return ID{}, ErrMalformed
	}
	inc, err := strconv.ParseInt(parts[n-2], 10, 64)
	if err != nil {
		return ID{}, ErrMalformed
	}
	random, err := hex.DecodeString(parts[n-1])
	if err != nil || len(random) != RandomLen {
		return ID{}, ErrMalformed
	}
	home := fleet.Holder{
		Instance:    fleet.InstanceID(strings.Join(parts[1:n-2], ".")),
		Incarnation: fleet.Incarnation(inc),
	}
	return ID{Customer: fleet.CustomerID(parts[0]), Home: home, Random: parts[n-1]}, nil
}
