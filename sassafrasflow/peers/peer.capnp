@0xb5d1f0c6a2e94c17;

# Protocol between instances. Payloads are messages of the package that
# registered the method. Fields and methods are only ever added.
#
# A caller asks for a challenge, proves with it that it knows the shared key
# and gets a proof of the same in return; only then a session exists.

interface Peer {
  challenge @0 () -> (nonce :Data);
  login @1 (instance :Text, nonce :Data, proof :Data)
      -> (instance :Text, proof :Data, session :Session);
}

interface Session {
  call @0 (method :Text, payload :Data) -> (payload :Data, error :Text);
}
