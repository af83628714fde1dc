@0xd3a7c1185f0b62e9;

# Messages of the gossip between instances. Fields are only ever added, so
# that older and newer instances understand each other; an entry whose topic
# is unknown here is skipped.

struct Sender {
  instance @0 :Text;
  address @1 :Text;
  region @2 :Text;
  dataCentre @3 :Text;
  incarnation @4 :UInt64;
}

struct Entry {
  topic @0 :Text;
  key @1 :Text;
  version @2 :UInt64;
  origin @3 :Text;
  value @4 :Data;
  ttlMs @5 :UInt64;
}

struct KnownVersion {
  keyHash @0 :UInt64;
  version @1 :UInt64;
  fingerprint @2 :UInt64;
}

struct Gossip {
  sender @0 :Sender;
  digest @1 :UInt64;
  entries @2 :List(Entry);
  buckets @3 :List(UInt32);
  asked @4 :List(UInt16);
  versions @5 :List(KnownVersion);
  wanted @6 :List(UInt64);
  probe @7 :Text;
  confirmed @8 :List(Text);
}
