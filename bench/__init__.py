"""Benchmarks; `python -m bench NAME...` runs them and prints tables."""
