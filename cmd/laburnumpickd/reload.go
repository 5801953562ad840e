package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"laburnumpick.org/pkg/settings"
)

// lookGap is the rest between two looks whether the settings file has changed.
const lookGap = 2 * time.Second

// watchSettings has changed settings reloaded: on SIGHUP, and when the file has
// changed without a signal. A file that is not valid changes nothing.
func watchSettings(ctx context.Context, file string, reload func(*settings.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	look := time.NewTicker(lookGap)
	defer look.Stop()
	seen, _ := os.ReadFile(file) // A file that is away now shows as changed later.
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-look.C:
		}
		text, err := os.ReadFile(file)
		if err != nil {
			klog.ErrorS(err, "settings: file cannot be read, the old ones stay", "file", file)
			continue
		}
		if bytes.Equal(text, seen) && !signalled {
			continue
		}
		seen = text
		set, err := settings.Parse(file, text)
		if err != nil {
			klog.ErrorS(err, "settings: file is not valid, the old ones stay", "file", file)
			continue
		}
		klog.InfoS("settings: reloading", "file", file, "signalled", signalled)
		reload(set)
	}
}
