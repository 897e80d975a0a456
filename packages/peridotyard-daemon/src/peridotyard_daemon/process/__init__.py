"""Modules whose objects have the lifetime of the process."""
