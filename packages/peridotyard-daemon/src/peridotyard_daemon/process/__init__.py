"""Modules whose objects live as long as the process."""
