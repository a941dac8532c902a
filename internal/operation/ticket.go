package operation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rs/xid"
)

// Ticket permits one execution of one operation by the incarnation of the entry
// host that minted it.
type Ticket struct {
	// Host and Incarnation identify the start of the entry host that minted the
	// ticket.
	Host        string
	Incarnation int
	// ID is unique; it contains the time of minting.
	ID xid.ID
	// Organisation is the organisation of the caller.
	Organisation string
	// mac is the signature: the HMAC-SHA256 of the other fields and the
	// service.
	mac string
}

// TicketError means that a text is not a ticket.
type TicketError struct{ Reason string }

// Error returns the error message.
func (e *TicketError) Error() string { return "not a ticket: " + e.Reason }

// maxTicketBytes bounds the text of a ticket.
const maxTicketBytes = 1024

// ticketParts is the number of dot-separated parts of a ticket.
const ticketParts = 5

// ParseTicket parses the text of a ticket. It doesn't verify the signature;
// only the host that minted the ticket can.
func ParseTicket(text string) (Ticket, error) {
	if len(text) > maxTicketBytes {
		return Ticket{}, &TicketError{Reason: "too long"}
	}
	parts := strings.Split(text, ".")
	if len(parts) != ticketParts {
		return Ticket{}, &TicketError{Reason: fmt.Sprintf("it has %d parts, want %d", len(parts), ticketParts)}
	}
	host, hostErr := url.PathUnescape(parts[0])
	incarnation, numberErr := strconv.Atoi(parts[1])
	id, idErr := xid.FromString(parts[2])
	organisation, orgErr := url.PathUnescape(parts[3])
	if hostErr != nil || numberErr != nil || idErr != nil || orgErr != nil {
		return Ticket{}, &TicketError{Reason: "a part is malformed"}
	}
	t := Ticket{Host: host, Incarnation: incarnation, ID: id, Organisation: organisation, mac: parts[4]}
	if t.String() != text {
		return Ticket{}, &TicketError{Reason: "it is not in its canonical form"}
	}
	return t, nil
}

// String returns the text of the ticket.
func (t Ticket) String() string { return t.unsigned() + "." + t.mac }

// unsigned returns the text without the signature. It identifies the ticket.
func (t Ticket) unsigned() string {
	return strings.Join([]string{escape(t.Host), strconv.Itoa(t.Incarnation), t.ID.String(), escape(t.Organisation)}, ".")
}

// MintedAt returns when the ticket was minted, rounded down to seconds.
func (t Ticket) MintedAt() time.Time { return t.ID.Time() }

// sign returns the ticket's signature for a service.
func (t Ticket) sign(key []byte, service string) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(t.unsigned() + "\n" + service))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// hasValidSignature reports whether the ticket's signature is valid for a
// service.
func (t Ticket) hasValidSignature(key []byte, service string) bool {
	return hmac.Equal([]byte(t.mac), []byte(t.sign(key, service)))
}
