package cli

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
)

// Keygen makes keys and certificates.
var Keygen = Command{Name: "keygen", Summary: "make caller keys, ticket keys and peer certificates", Run: runKeygen, Subcommands: keygenCommands}

var keygenCommands = []Command{
	{Name: "caller", Summary: "make a caller's key and print its section of the policy", Run: runKeygenCaller},
	{Name: "ticket", Summary: "make a file with a key that signs tickets", Run: runKeygenTicket},
	{Name: "ca", Summary: "make the certificate authority of the entry hosts", Run: runKeygenAuthority},
	{Name: "peer", Summary: "make the certificate of one entry host", Run: runKeygenPeer},
}

// keyBytes is the number of random bytes of a key.
const keyBytes = 32

func runKeygen(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return runNamed(ctx, "mimosactl keygen", keygenCommands, args, stdout, stderr)
}

// runKeygenCaller prints the section on stdout and the key on stderr, so that
// the one can be appended to the policy and the other is seen once.
func runKeygenCaller(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("keygen caller", "CALLER ORGANISATION", stderr)
	if code, ok := parse(flags, args, 2, 2); !ok {
		return code
	}
	key := base64.RawURLEncoding.EncodeToString(randomKey())
	sum := sha256.Sum256([]byte(key))
	fmt.Fprintf(stdout, "[caller %s]\norganisation = %s\nkey_sha256 = %s\n", flags.Arg(0), flags.Arg(1), hex.EncodeToString(sum[:]))
	fmt.Fprintf(stderr, "key of %s: %s\n", flags.Arg(0), key)
	return ExitOK
}

func runKeygenTicket(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("keygen ticket", "FILE", stderr)
	if code, ok := parse(flags, args, 1, 1); !ok {
		return code
	}
	if err := writeFile(flags.Arg(0), randomKey(), secretMode); err != nil {
		return fail(stderr, err)
	}
	fmt.Fprintf(stdout, "%s: %d bytes\n", flags.Arg(0), keyBytes)
	return ExitOK
}

func randomKey() []byte {
	key := make([]byte, keyBytes)
	// Read never fails.
	_, _ = rand.Read(key)
	return key
}
