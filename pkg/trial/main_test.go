package trial_test

import (
	"os"
	"testing"

	"laburnumpick.org/pkg/seeds"
	"laburnumpick.org/pkg/telemetry"
)

func TestMain(m *testing.M) {
	seeds.UseFixed()
	telemetry.Quiet()
	os.Exit(m.Run())
}
