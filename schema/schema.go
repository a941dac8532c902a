// Package schema embeds the JSON Schema files of messages, settings, policy,
// status reports and scenarios.
//
// The Go types are generated from the same files, so that validation and types
// can't disagree.
package schema

import _ "embed"

// Settings is the schema of the settings of a process.
//
//go:embed settings.schema.json
var Settings []byte

// Policy is the schema of the policy file.
//
//go:embed policy.schema.json
var Policy []byte

// Messages is the schema of the messages between entry hosts.
//
//go:embed messages.schema.json
var Messages []byte

// Status is the schema of the status report of an entry host.
//
//go:embed status.schema.json
var Status []byte

// Scenario is the schema of the scenarios of the load tool and the emulator.
//
//go:embed scenario.schema.json
var Scenario []byte
