"""Messages between processes over ZeroMQ: encoding, encryption and sockets."""
