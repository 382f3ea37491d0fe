"""A replica of a plain service: NAME WORK_MS. Prints its port, then one line for each request that it
runs or ends, with the time of the system's monotonic clock."""

import socket
import sys
import threading
import time

NAME = sys.argv[1]
WORK = int(sys.argv[2]) / 1000


def say(text):
    sys.stdout.write(f"{time.monotonic():.6f} {text}\n")
    sys.stdout.flush()


def answer(connection, head, more):
    connection.sendall(f"HTTP/1.1 {head}\r\nConnection: close\r\nContent-Length: {len(more)}\r\n\r\n{more}".encode())


def serve(connection):
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
    echo = f"\r\nSequoiacrank-Attempt-Id: {attempt}"
    if headers.get("sequoiacrank-expect-instance", NAME) != NAME:
        answer(connection, f"421 Misdirected Request\r\nSequoiacrank-Replica-Id: {NAME}{echo}", "")
        return
    say(f"runs {attempt}")
    time.sleep(WORK)
    answer(connection, f"200 OK\r\nSequoiacrank-Server-Seal: {NAME}.{attempt}{echo}", f"done by {NAME}\n")
    say(f"ends {attempt}")


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
