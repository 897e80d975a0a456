"""Stand-ins for callers, servers, the store and the platform of the users."""
