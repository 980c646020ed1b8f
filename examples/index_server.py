#!/usr/bin/env python3
"""A stand-in for an index server, to try a front node by hand: it answers each part with its query's text."""
import socketserver
import struct
import sys


class Connection(socketserver.StreamRequestHandler):
    def handle(self):
        while len(head := self.rfile.read(5)) == 5:
            rest = self.rfile.read(struct.unpack(">I", head[:4])[0] - 1)
            if head[4:] == b"M":
                self.send(b"M", b"inflight=0,queue=0")
            while head[4:] == b"S" and rest:
                line, rest = rest.split(b"\n", 1)
                part, _, _, length = line.split(b" ")
                query, rest = rest[: int(length)], rest[int(length) :]
                self.send(b"R", part + b" done 0 inflight=0,queue=0\n" + query)

    def send(self, letter, rest):
        self.wfile.write(struct.pack(">I", len(rest) + 1) + letter + rest)


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True


if __name__ == "__main__":
    Server(("127.0.0.1", int(sys.argv[1])), Connection).serve_forever()
