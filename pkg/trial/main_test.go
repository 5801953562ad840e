package trial_test

import (
	"os"
	"testing"

	"laburnumpick.org/pkg/seeds"
	"laburnumpick.org/pkg/telemetry"
)

func TestMain(m *testing.M) {
	seeds.UseFixed()
	telemetry.DiscardLogs()
	os.Exit(m.Run())
}
