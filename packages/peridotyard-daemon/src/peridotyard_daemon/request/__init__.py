"""Modules whose objects live as long as one request."""
