"""The entry and sidecar processes.

An entry accepts the requests of callers and routes them to backend servers. A
sidecar runs beside one backend server and connects it to the entries.
"""
