package local

import (
	"time"

	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/settings"
)

// The names in the configuration of the local hall.
const (
	ModelName   = "reader"
	ServiceName = "portal"
	// KeyConversia and KeyChaiyaphruek are the keys of the two client accounts.
	KeyConversia    = "dev-conversia"
	KeyChaiyaphruek = "dev-chaiyaphruek"
)

// The tokens of the operators of the local hall.
const (
	TokenAdmin  = "dev-admin"
	TokenTeam   = "dev-team"
	TokenViewer = "dev-viewer"
)

// Operators returns one operator of each role.
func Operators() []settings.Operator {
	return []settings.Operator{
		{Name: "root", Role: "admin", SHA256: config.HashKey(TokenAdmin)},
		{Name: "cluj", Role: "team", Team: "cluj", SHA256: config.HashKey(TokenTeam)},
		{Name: "guest", Role: "viewer", SHA256: config.HashKey(TokenViewer)},
	}
}

// The limits of the local hall's model. A prompt of a million tokens needs three
// engines.
const (
	engineTokens = 400_000
	maxPrompt    = 1_100_000
	maxOutput    = 256
)

// Configuration returns the configuration of the local hall, without targets.
func Configuration() config.File {
	return config.File{
		Accounts: []config.Account{
			{
				Name:   "conversia",
				Weight: 1,
				Labels: []string{"documents"},
				Team:   "cluj",
				Keys:   []config.Key{{ID: "dev", SHA256: config.HashKey(KeyConversia)}},
			},
			{
				Name:   "chaiyaphruek",
				Weight: 1,
				Labels: []string{"quotes"},
				Team:   "bangkok",
				Keys:   []config.Key{{ID: "dev", SHA256: config.HashKey(KeyChaiyaphruek)}},
			},
		},
		Classes: []config.Class{
			{Name: "urgent", Rank: 0, Limit: config.Duration(2 * time.Minute)},
			{Name: "normal", Rank: 1, Limit: config.Duration(10 * time.Minute)},
			{Name: "bulk", Rank: 2, Limit: config.Duration(time.Hour)},
		},
		Models: []config.Model{{
			Name:         ModelName,
			EngineTokens: engineTokens,
			MaxPrompt:    maxPrompt,
			MaxOutput:    maxOutput,
			PrefillRate:  enginePrefillRate,
		}},
		Services: []config.Service{{Name: ServiceName}},
	}
}
