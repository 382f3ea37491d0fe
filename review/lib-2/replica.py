"""A replica: NAME [EVENTS GAP_MS]. Answers a request with a stream of EVENTS events, one each
GAP_MS, whose answer has neither a length nor chunks and ends with its connection, as the users'
pages allow. Prints its port, then one line for each request that it runs."""

import socket
import sys
import threading
import time

NAME = sys.argv[1]
EVENTS = int(sys.argv[2])
GAP = int(sys.argv[3]) / 1000


def say(text):
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def serve(connection):
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            return
        data += more
    head, body = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = dict((n.strip().lower(), v.strip()) for n, v in (line.split(":", 1) for line in lines[1:]))
    while len(body) < int(headers.get("content-length", "0")):
        body += connection.recv(65536)
    attempt = headers.get("sequoiacrank-attempt-id", "")
    if headers.get("sequoiacrank-expect-instance", NAME) != NAME:
        connection.sendall(
            f"HTTP/1.1 421 Misdirected Request\r\nSequoiacrank-Replica-Id: {NAME}\r\n"
            f"Sequoiacrank-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        return
    first = int(headers.get("last-event-id", "0")) + 1
    say(f"runs {attempt} from event {first}")
    connection.sendall(
        f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
        f"Sequoiacrank-Attempt-Id: {attempt}\r\nSequoiacrank-Server-Seal: {NAME}.{attempt}\r\n\r\n".encode()
    )
    for number in range(first, EVENTS + 1):
        time.sleep(GAP)
        connection.sendall(f"id: {number}\ndata: event {number} of {EVENTS}\n\n".encode())
    say(f"ends {attempt} after event {EVENTS}")


def guarded(connection):
    try:
        serve(connection)
    except OSError as error:
        say(f"connection lost: {error}")
    finally:
        connection.close()


def main():
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)
    say(str(listener.getsockname()[1]))
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=guarded, args=(connection,), daemon=True).start()


main()
