"""Modules that handle requests; most objects live as long as one request."""
