"""Request classes shared by the tests of replays."""

from __future__ import annotations

from harecross.interface import Idempotency
from harecross.replay.accounting import RequestClass

READ = RequestClass("read", Idempotency.IDEMPOTENT, 1.0, 1_000_000, 2_000_000)
PUT = RequestClass("put", Idempotency.IDEMPOTENCY_KEY, 5.0, 1_000_000, 2_000_000)
PAY = RequestClass("pay", Idempotency.NON_IDEMPOTENT, 5.0, 1_000_000, 2_000_000)
