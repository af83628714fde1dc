"""Tests of the encoding of gossip messages."""

import pathlib

import capnp
import pytest

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow.membership import codec

SENDER = membership.Peer(
    ids.InstanceId("i"),
    "127.0.0.1:1",
    ids.Region("east"),
    ids.DataCentre("east-1"),
    7,
)
FULL = membership.Gossip(
    sender=SENDER,
    digest=2**64 - 1,
    entries=(
        membership.Entry(
            membership.Topic.DEMAND, "club", 3, SENDER.instance, b"\0v", 9
        ),
    ),
    buckets=(1, 2**32 - 1),
    asked=(63,),
    versions=(membership.KnownVersion(2**64 - 1, 5, 6),),
    wanted=(8,),
    probe=ids.InstanceId("j"),
    confirmed=(ids.InstanceId("k"),),
)
EMPTY = membership.Gossip(sender=SENDER)

NEWER_SCHEMA = """@0xe0a5c3b1d2f40718;
struct Sender {
  instance @0 :Text; address @1 :Text; region @2 :Text;
  dataCentre @3 :Text; incarnation @4 :UInt64; zone @5 :Text;
}
struct Entry {
  topic @0 :Text; key @1 :Text; version @2 :UInt64; origin @3 :Text;
  value @4 :Data; ttlMs @5 :UInt64; colour @6 :Text;
}
struct KnownVersion {
  keyHash @0 :UInt64; version @1 :UInt64; fingerprint @2 :UInt64;
}
struct Gossip {
  sender @0 :Sender; digest @1 :UInt64; entries @2 :List(Entry);
  buckets @3 :List(UInt32); asked @4 :List(UInt16);
  versions @5 :List(KnownVersion); wanted @6 :List(UInt64);
  probe @7 :Text; confirmed @8 :List(Text); reason @9 :Text;
}
"""


@pytest.fixture(scope="module")
def newer(tmp_path_factory):
    path = pathlib.Path(tmp_path_factory.mktemp("schema")) / "newer.capnp"
    path.write_text(NEWER_SCHEMA)
    return capnp.load(str(path))


class TestCodec:
    @pytest.mark.parametrize(
        "message", [FULL, membership.Gossip(sender=SENDER)]
    )
    def test_round_trip(self, message):
        assert codec.decode(codec.encode(message)) == message

    def test_unknown_fields_and_topics_are_skipped(self, newer):
        built = newer.Gossip.new_message(reason="new")
        built.sender.instance = "i"
        built.sender.zone = "new"
        slots = built.init("entries", 2)
        slots[0].topic = "weather"
        slots[1].topic = "demand"
        slots[1].colour = "new"
        message = codec.decode(built.to_bytes_packed())
        assert message.sender.instance == "i"
        topics = [item.topic for item in message.entries]
        assert topics == [membership.Topic.DEMAND]

    def test_newer_peer_reads_an_older_message(self, newer):
        built = newer.Gossip.from_bytes_packed(codec.encode(FULL))
        assert built.sender.instance == "i"
        assert built.reason == ""

    @pytest.mark.parametrize(
        "payload",
        [b"", b"\xff" * 64, codec.encode(FULL)[:40], b"\x10\x01\xff\xff"],
    )
    def test_malformed_payload_is_a_peer_error(self, payload):
        with pytest.raises(exceptions.PeerError):
            codec.decode(payload)
