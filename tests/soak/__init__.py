"""Randomized soak test of entries with stand-ins for servers and store.

Entries run as processes; the stand-ins for store and servers run in the soak's
own process, behind loopback proxies. Faults are injected from outside: by
signals, by the proxies, and by stand-ins that end, drain or lose responses.

A reported problem begins with the violated guarantee: one of those of
`callers.find_problems`; CONFIG, an entry reports an older version of the
configuration than before, or a new one too late; LAYERS, an entry chooses a
path that does not run each layer once and in order; or RECOVER, requests are
not served in time after the last fault.
"""
