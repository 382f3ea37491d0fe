"""A replica: one process, which answers requests over HTTP/1.1 as the users' pages say. Its answers have neither a
length nor chunks and end with their connection, if UNFRAMED is given.

Arguments: ID PORT KIND FILE, where KIND is plain:MS, model:MS (which needs inputs), stage:MS or
stream:EVENTS:MS:FIRST_ID[:HEAD_MS]. Each line of FILE tells what it ran. All answers name SERVER_LIMIT, if given."""
import asyncio, json, os, sys, time
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import world

ID, PORT, KIND = sys.argv[1], int(sys.argv[2]), sys.argv[3].split(":")
UNFRAMED = os.environ.get("UNFRAMED") == "1"
LIMIT = os.environ.get("SERVER_LIMIT")
made = 0
RUNS = open(sys.argv[4], "a", encoding="utf-8", buffering=1)


def tell(text):
    RUNS.write(f"{time.monotonic():.3f} {ID} {text}\n")


def seal(attempt):
    return (f"Sequoiacrank-Attempt-Id: {attempt}\r\nSequoiacrank-Server-Seal: {ID}.{attempt}\r\n"
            f"Sequoiacrank-Replica-Id: {ID}\r\n" + (f"Server-Limit: {LIMIT}\r\n" if LIMIT else ""))


async def serve(reader, writer):
    try:
        while True:
            head = await world.read_head(reader)
            if head is None:
                return
            line, headers = head
            body = await world.read_sized(reader, headers)
            attempt = headers.get("sequoiacrank-attempt-id", "")
            if KIND[0] == "stage":
                await stage(writer, line, headers, body)
            elif not await answer(writer, line, headers, attempt):
                return
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def answer(writer, line, headers, attempt):
    path = line.split(" ")[1]
    if path == "/health":
        writer.write(f"HTTP/1.1 200 OK\r\nSequoiacrank-Replica-Id: {ID}\r\nContent-Length: 0\r\n\r\n".encode())
        return True
    expected = headers.get("sequoiacrank-expect-instance", ID)
    if expected != ID:
        writer.write(b"HTTP/1.1 421 -\r\nSequoiacrank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        return True
    if not attempt:
        writer.write(b"HTTP/1.1 400 -\r\nSequoiacrank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        return True
    if KIND[0] == "model" and not headers.get("sequoiacrank-input-count"):
        writer.write(b"HTTP/1.1 400 -\r\nSequoiacrank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        return True
    resumed = headers.get("last-event-id")
    tell(f"runs {attempt} {path} tenant={headers.get('sequoiacrank-tenant-name')} last-event-id={resumed}")
    if KIND[0] in ("plain", "model"):
        return await plain(writer, attempt)
    return await stream(writer, attempt, resumed)


async def stage(writer, line, headers, body):
    """Runs the pieces of a call and keeps their results, or frees results."""
    global made
    answer, status = b"{}", "200 OK"
    if headers.get("sequoiacrank-expect-instance", ID) != ID:
        status = "421 -"
    elif line.split(" ")[1] == "/sequoiacrank/stage-run":
        items = json.loads(body)["items"]
        await asyncio.sleep(int(KIND[1]) / 1000)
        made += len(items)
        answer = json.dumps({"items": [{"handleId": f"{world.LOOPBACK}:{PORT}/{made}-{number}"}
                                       for number in range(len(items))]}).encode()
    writer.write(f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {len(answer)}\r\n\r\n"
                 .encode() + answer)


async def plain(writer, attempt):
    """Answers with 40 lines, one after the other, over the given time."""
    lines = [f"{number:03} {attempt}\n".encode() for number in range(40)]
    if UNFRAMED:
        writer.write(f"HTTP/1.1 200 OK\r\n{seal(attempt)}Content-Type: text/plain\r\nConnection: close\r\n\r\n".encode())
    else:
        size = sum(map(len, lines))
        writer.write(f"HTTP/1.1 200 OK\r\n{seal(attempt)}Content-Type: text/plain\r\nContent-Length: {size}\r\n\r\n".encode())
    for one in lines:
        writer.write(one)
        await writer.drain()
        await asyncio.sleep(int(KIND[1]) / 1000 / len(lines))
    tell(f"ended {attempt}")
    return not UNFRAMED


async def stream(writer, attempt, resumed):
    """Sends events with the ids FIRST_ID, FIRST_ID + 1 and so on, from the one after `resumed`."""
    count, pause, first = int(KIND[1]), int(KIND[2]) / 1000, int(KIND[3])
    wait = int(KIND[4]) / 1000 if len(KIND) > 4 else 0
    how = "Connection: close" if UNFRAMED else "Transfer-Encoding: chunked"
    writer.write(f"HTTP/1.1 200 OK\r\n{seal(attempt)}Content-Type: text/event-stream\r\n{how}\r\n\r\n".encode())
    await writer.drain()
    await asyncio.sleep(wait)
    start = first if resumed is None else int(resumed) + 1
    for number in range(start, first + count):
        event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
        writer.write(event if UNFRAMED else b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(pause)
    if not UNFRAMED:
        writer.write(b"0\r\n\r\n")
    await writer.drain()
    tell(f"ended {attempt}")
    return not UNFRAMED


async def main():
    server = await asyncio.start_server(serve, world.LOOPBACK, PORT)
    async with server:
        await server.serve_forever()


asyncio.run(main())
