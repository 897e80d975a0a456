"""Decision logic, settings and configuration model; no I/O and no clock."""
