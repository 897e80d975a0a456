"""Sockets that listen before the process can serve them.

It imports nothing that takes long to load.
"""

import socket

# The longest queue of connections that the process has not accepted yet.
BACKLOG = 1024


def listen(host: str, port: int) -> socket.socket:
    """Returns a socket that queues connections.

    Raises:
        OSError: The address cannot be used.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
