"""A replica: NAME stream EVENTS GAP_MS, or NAME plain WORK_MS.

The first answers a request with a stream of EVENTS events, one each GAP_MS, whose answer has neither
a length nor chunks and ends with its connection, as the users' pages allow. The second answers after
WORK_MS with a length. Each prints its port, then one line for each request that it runs,
with the time of the system's monotonic clock."""

import socket
import sys
import threading
import time

NAME = sys.argv[1]
KIND = sys.argv[2]
NUMBERS = [int(number) for number in sys.argv[3:]]


def say(text):
    sys.stdout.write(f"{time.monotonic():.6f} {text}\n")
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
    if KIND == "plain":
        say(f"runs {attempt}")
        time.sleep(NUMBERS[0] / 1000)
        body = f"done by {NAME}\n"
        connection.sendall(
            f"HTTP/1.1 200 OK\r\nSequoiacrank-Attempt-Id: {attempt}\r\nConnection: close\r\n"
            f"Sequoiacrank-Server-Seal: {NAME}.{attempt}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        say(f"ends {attempt}")
        return
    events, gap = NUMBERS[0], NUMBERS[1] / 1000
    first = int(headers.get("last-event-id", "0")) + 1
    say(f"runs {attempt} from event {first}")
    connection.sendall(
        f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
        f"Sequoiacrank-Attempt-Id: {attempt}\r\nSequoiacrank-Server-Seal: {NAME}.{attempt}\r\n\r\n".encode()
    )
    for number in range(first, events + 1):
        time.sleep(gap)
        connection.sendall(f"id: {number}\ndata: event {number} of {events}\n\n".encode())
    say(f"ends {attempt} after event {events}")


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
