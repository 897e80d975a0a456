"""The operator library and the peridotyard command."""
