"""Sockets that listen before the process has loaded its modules.

This module must not import anything that takes long to load.
"""

import socket

# Maximum number of connections that wait to be accepted.
BACKLOG = 1024
# Receive buffer of a connection. The kernel doubles it, and lets buffers of
# other connections grow to some megabytes, which count as memory on machines of
# the platform.
RECEIVE_BUFFER_BYTES = 32 << 10


def listen(host: str, port: int) -> socket.socket:
    """Returns a listening TCP socket.

    Raises:
        OSError: The address cannot be used.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
