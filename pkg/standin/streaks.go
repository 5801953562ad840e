package standin

import "time"

// Failure streaks of backend servers as on the users' platform: at any time three in ten
// servers break most of their connections.
const (
	MeanStreak  = 6 * time.Second
	MeanPause   = 14 * time.Second // Between two streaks of a server.
	StreakShare = 0.3              // Share of the servers that are in a streak.
	BreakShare  = 0.85             // Share of the connections that they break.
)

// Figures of the users' rule on sound servers without requests.
const (
	FloorShare  = 0.7             // Share of the sound servers that must get requests.
	FloorWindow = 2 * time.Second // In any time of this length.
	SoundAfter  = 2 * time.Second // How long after a failure streak a server is sound again.
)
