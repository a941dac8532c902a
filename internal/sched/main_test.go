package sched

import (
	"os"
	"testing"

	"mimosafront/internal/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, rapidtest.Config{Checks: 600, Steps: 60})) }
