package instance

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"
)

const settingsPollInterval = 2 * time.Second

// WatchSettings reloads i when file changes or hup receives, until ctx is done. A file
// that fails validation is rejected, and the current settings stay in effect.
func WatchSettings(ctx context.Context, i *Instance, file string, hup <-chan os.Signal) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	loaded := modTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			if modTime(file).Equal(loaded) {
				continue
			}
		}
		loaded = modTime(file)
		s, err := LoadSettings(file)
		if err != nil {
			i.status.reject(err, i.now())
			i.log.Warn("settings rejected; keeping the previous ones", zap.String("error", err.Error()), zap.String("in_force", i.status.settingsHash()))
			continue
		}
		i.Reload(s)
	}
}

// modTime returns the modification time of file, or the zero time on error.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
