"""Reserved ports for processes that start later."""

import contextlib
import socket

from cardamomloft_standins import processes


def test_a_reserved_port_is_not_assigned_again_and_can_be_listened_on():
    with processes.reserved_ports(1) as (port,), contextlib.ExitStack() as stack:
        taken = {port}
        for _ in range(500):
            sock = stack.enter_context(contextlib.closing(socket.socket()))
            sock.bind(("127.0.0.1", 0))
            assert sock.getsockname()[1] not in taken
            taken.add(sock.getsockname()[1])
        listener = stack.enter_context(contextlib.closing(socket.socket()))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen()
        with contextlib.closing(socket.create_connection(("127.0.0.1", port), timeout=5)):
            pass
