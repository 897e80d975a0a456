"""Modules whose objects have the lifetime of the process.

An object that is "owned by the process" lives until the process ends.
"""
