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

// pollInterval is the time between two checks of the settings file for changes.
const pollInterval = 2 * time.Second

// watchSettings calls reload with new settings on SIGHUP, and when the file has
// changed without a signal. If the file is not valid, the current settings stay.
func watchSettings(ctx context.Context, file string, reload func(*settings.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	lastRead, _ := os.ReadFile(file) // A file missing now counts as changed when it appears.
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-poll.C:
		}
		text, err := os.ReadFile(file)
		if err != nil {
			klog.ErrorS(err, "settings: cannot read the file, keeping the current settings", "file", file)
			continue
		}
		if bytes.Equal(text, lastRead) && !signalled {
			continue
		}
		lastRead = text
		set, err := settings.Parse(file, text)
		if err != nil {
			klog.ErrorS(err, "settings: the file is not valid, keeping the current settings", "file", file)
			continue
		}
		klog.InfoS("settings: reloading", "file", file, "signalled", signalled)
		reload(set)
	}
}
