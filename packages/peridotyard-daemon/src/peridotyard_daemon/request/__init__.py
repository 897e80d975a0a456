"""Modules whose objects have the lifetime of one request."""
