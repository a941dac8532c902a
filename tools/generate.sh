#!/usr/bin/env bash
# Generates the Go types of messages, settings and policy from schema/.
set -euo pipefail
cd "$(dirname "$0")/.."
generate() {
  go tool -modfile=tools/go.mod go-jsonschema --only-models --struct-name-from-title --tags "$2" -p "$1" -o "internal/$1/$3" "schema/$4"
}
generate message json,cbor message_gen.go messages.schema.json
generate settings json,ini settings_gen.go settings.schema.json
generate policy json,ini policy_gen.go policy.schema.json
generate status json status_gen.go status.schema.json
generate scenario json,ini scenario_gen.go scenario.schema.json
gofmt -w internal/*/*_gen.go
go run ./cmd/mimosactl docs docs/reference >/dev/null
