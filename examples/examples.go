// Package examples holds the example policies of both associations.
package examples

import _ "embed"

// Consortium is the policy of the Consórcio Fontes Partilhadas. The key of a
// caller is demo-<caller name>.
//
//go:embed consortium.policy.ini
var Consortium []byte

// Workshop is the policy of the Ex Libris Plovdiv Workshop Association. The key
// of a caller is demo-<caller name>.
//
//go:embed workshop.policy.ini
var Workshop []byte
