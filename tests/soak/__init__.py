"""Randomized soak test of entries with stand-ins for servers and store.

Entries run as processes; the stand-ins for store and servers run in the soak's
own process, behind loopback proxies. Faults are injected from outside: by
signals, by the proxies, and by stand-ins that end, drain or lose responses.
"""
