"""Stand-ins of the platform, for trials only."""
