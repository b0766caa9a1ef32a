"""Fuzzes all parsers of DNS data and of source files with random and corrupted input.

    python benchmarks/fuzz_dns.py [--seconds 60] [--seed 1]

The input is: DNS messages (random bytes, and replies with bytes changed, removed, repeated or inserted), the framing of
a byte stream, complete resolutions of an SRV name, address files and cache files. If a parser raises anything but its
own error, the error and the seed are printed and the exit status is 1.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from hashlib import sha256
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).parent.parent))

import dns.message
import dns.rrset

from harecross.dns.frames import FrameDecoder, frame
from harecross.dns.message import MessageError, Question, decode_reply
from harecross.dns.srv import Resolution, SrvAnswer, SrvEndpoint
from harecross.sources import address_file, cache_file
from harecross.sources.statements import srv_statements

NAME = "_a._tcp.example.org."
TARGETS = ["t.example.org.", "u.example.org.", "v.other.example.", ".", NAME, "x" * 60 + ".example.org."]
RECORD_TYPES = ["SRV", "A", "AAAA", "CNAME", "SOA", "NS", "TXT"]


def random_answer(rng: Random, question: Question) -> bytes:
    """Returns an encoded reply with random records of the types that a zone may hold."""
    query = dns.message.make_query(question.name, question.record_type)
    reply = dns.message.make_response(query)
    for section in (reply.answer, reply.additional, reply.authority):
        for _ in range(rng.randrange(4)):
            owner, record_type = rng.choice([question.name, *TARGETS]), rng.choice(RECORD_TYPES)
            data = random_record_data(rng, record_type)
            ttl = rng.choice([0, 1, 300, 2**31 - 1])
            section.append(dns.rrset.from_text(owner, ttl, "IN", record_type, data))
    reply.set_rcode(rng.choice([0, 0, 0, 2, 3]))
    return reply.to_wire(max_size=65_535)


def random_record_data(rng: Random, record_type: str) -> str:
    """Returns the data of a record in zone file format."""
    numbers = f"{rng.randrange(65536)} {rng.randrange(65536)} {rng.randrange(65536)}"
    return {
        "SRV": f"{numbers} {rng.choice(TARGETS)}", "A": f"10.0.0.{rng.randrange(256)}",
        "AAAA": f"::{rng.randrange(65536):x}", "CNAME": rng.choice(TARGETS), "NS": rng.choice(TARGETS),
        "TXT": '"x"', "SOA": f"a. b. 1 2 3 4 {rng.getrandbits(31)}",
    }[record_type]  # fmt: skip


def corrupted(rng: Random, data: bytes) -> bytes:
    """Returns the bytes with some of them changed, removed, repeated or inserted."""
    result = bytearray(data)
    for _ in range(rng.randrange(4)):
        at = rng.randrange(len(result) + 1)
        change = rng.randrange(4)
        if change == 0 and at < len(result):
            result[at] = rng.choice([0, 1, 0x3F, 0xC0, 0xFF, rng.randrange(256)])
        elif change == 1:
            del result[at : at + rng.randrange(9)]
        elif change == 2:
            result[at:at] = result[at : at + rng.randrange(40)]
        else:
            result[at:at] = rng.randbytes(rng.randrange(9))
    return bytes(result)


def read_message(rng: Random) -> None:
    """Decodes a corrupted reply, or random bytes."""
    if rng.random() < 0.9:
        decode_reply(corrupted(rng, random_answer(rng, Question(NAME, "SRV"))))
    else:
        decode_reply(rng.randbytes(rng.randrange(600)))


def read_stream(rng: Random) -> None:
    """Decodes the messages of a stream that arrives in chunks of random size."""
    messages = [rng.randbytes(rng.randrange(300)) for _ in range(rng.randrange(5))]
    stream, decoder, decoded = b"".join(frame(message) for message in messages), FrameDecoder(), []
    while stream:
        size = rng.randrange(1, 90)
        decoded += decoder.feed(stream[:size])
        stream = stream[size:]
    assert decoded == messages


def read_name(rng: Random) -> None:
    """Resolves a name with corrupted replies, and checks that the resolution ends with a usable result."""
    resolution = Resolution(NAME)
    for _ in range(200):
        questions = resolution.questions()
        if not questions:
            break
        for question in questions:
            try:
                reply = decode_reply(corrupted(rng, random_answer(rng, question)))
                resolution.receive_reply(question, reply)
            except MessageError as error:
                resolution.receive_failure(question, str(error))
    assert resolution.done, "the resolution does not end"
    if not resolution.failure:
        statements = srv_statements(resolution.result().endpoints)
        assert all(0 < statement.weight <= 20 for statement in statements)


def read_address_file(rng: Random) -> None:
    """Parses a corrupted address file."""
    text = "10.0.0.1:80 weight=2 priority=1 zone=x name=b # c\n[::1]:81 drain\n" * rng.randrange(3)
    address_file.parse(corrupted(rng, text.encode()).decode(errors="replace"))


def read_cache_file(rng: Random) -> None:
    """Decodes a corrupted cache file with a valid checksum, without which the file would not be parsed."""
    answer = SrvAnswer((SrvEndpoint(0, "t.", "10.0.0.1", 80, 5),), 30.0)
    encoded = cache_file.encode({NAME: cache_file.CachedSet(answer, 1.0, 2.0)})
    body = corrupted(rng, encoded.partition(b"\n")[2])
    cache_file.decode(cache_file.FORMAT_PREFIX + sha256(body).hexdigest().encode() + b"\n" + body)


EXPECTED_ERRORS = (MessageError, address_file.AddressFileError, cache_file.CacheFileError)


def main() -> int:
    """Runs the parsers until the time is over; returns 1 at the first unexpected error, else 0."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    end, seed, counts = time.monotonic() + options.seconds, options.seed, Counter[str]()
    reported_at = time.monotonic()
    readers = [read_message, read_stream, read_name, read_address_file, read_cache_file]
    while time.monotonic() < end:
        reader = readers[seed % len(readers)]
        try:
            reader(Random(seed))
            counts[f"{reader.__name__} read"] += 1
        except EXPECTED_ERRORS:
            counts[f"{reader.__name__} refused"] += 1
        except Exception as error:
            print(f"seed {seed}: {reader.__name__}: {error!r}")
            return 1
        seed += 1
        if time.monotonic() > reported_at + 10:
            reported_at = time.monotonic()
            print(f"{seed - options.seed} cases", flush=True)
    print(", ".join(f"{count} {result}" for result, count in sorted(counts.items())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
