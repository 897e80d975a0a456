"""Decision logic, settings and configuration model.

Apart from reading settings files, the package does no I/O and reads no clock:
callers pass in the current time.

An entry is a process that accepts the requests of callers and forwards them to
backend servers. A sidecar is a process that runs beside one backend server and
connects it to the entries. The modules `paths` and `layouts` serve entries of a
platform without sidecars; `pipelines`, `streams`, `steps` and `membership`
serve deployments with sidecars.
"""
