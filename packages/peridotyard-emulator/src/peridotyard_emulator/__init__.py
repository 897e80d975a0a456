"""Stand-ins for the platform and backend servers, and a load tool."""
