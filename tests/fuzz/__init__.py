"""Fuzzing of the decoders of what other programs have written."""
