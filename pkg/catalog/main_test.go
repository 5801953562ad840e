package catalog_test

import (
	"os"
	"testing"

	"laburnumpick.org/pkg/seeds"
)

func TestMain(m *testing.M) {
	seeds.UseFixed()
	os.Exit(m.Run())
}
