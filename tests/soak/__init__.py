"""Randomized soak of real entries before stand-ins of servers and store.

Entries run as processes; store and servers are stand-ins in the soak's own
process, behind loopback proxies. Faults come from outside: signals, proxies,
and stand-ins that end, leave or lose answers.
"""
