package instance

// This file notices changes of the settings file.

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

// settingsEvery is how often the settings file is looked at.
const settingsEvery = 2 * time.Second

// WatchSettings reloads i when file has changed, or when hup says so, until
// ctx ends. Settings with faults are kept out, and what is in force stays.
func WatchSettings(ctx context.Context, i *Instance, file string, hup <-chan os.Signal) {
	tick := time.NewTicker(settingsEvery)
	defer tick.Stop()
	seen := modified(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			if modified(file).Equal(seen) {
				continue
			}
		}
		seen = modified(file)
		s, err := LoadSettings(file)
		if err != nil {
			i.running.refuse(err, i.now())
			i.log.Warn("settings kept out", zap.String("error", err.Error()), zap.String("in_force", i.running.settings()))
			continue
		}
		i.Reload(s)
	}
}

// modified returns when file was changed; the zero time if that can't be told.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
