package harness3

// Bounds returns the bounds of both small sites, under the names of the settings.
func Bounds() map[string]any {
	return map[string]any{
		"grace_s": 8, "config_apply_ms": 3000, "contact_ms": 4000, "drain_ms": 3000, "ttl_max_s": 5,
		"retry_budget_ratio": 0.2, "budget_slack": 56, "budget_window_s": 10,
		"quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000,
	}
}
