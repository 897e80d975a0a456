"""Modules whose objects live as long as one configuration revision."""
