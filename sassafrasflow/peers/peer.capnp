@0xb5d1f0c6a2e94c17;

# Protocol between instances. Payloads are messages of the package that
# registered the method; unknown methods are answered with an error.

interface Peer {
  hello @0 (instance :Text, proof :Data) -> (instance :Text, session :Session);
}

interface Session {
  call @0 (method :Text, payload :Data) -> (payload :Data);
}
