"""Stand-ins for the platform and the backend servers, for trials only."""
