package overload

import (
	"os"
	"testing"

	"mimosafront/internal/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, rapidtest.Config{Checks: 100})) }
