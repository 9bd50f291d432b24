"""Stand-ins for the outside, for trials and tests only."""
