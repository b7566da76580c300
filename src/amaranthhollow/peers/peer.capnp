# Calls between daemons.
@0xd1b7c0a94be26f35;

struct StreamEvent {
  id @0 :UInt32;
  text @1 :Text;
  end @2 :Text;       # Empty, or the finish reason of the last event.
}

struct StreamTail {
  found @0 :Bool;
  promptTokens @1 :UInt32;
  events @2 :List(StreamEvent);
  isProduced @3 :Bool;  # Whether the peer is still adding events.
}

struct ConfigurationBody {
  found @0 :Bool;
  changeId @1 :Text;
  content @2 :Data;   # The body as the key-value service holds it.
}

interface Peer {
  # Exchanges gossip. Each message is a GossipMessage in MessagePack.
  exchange @0 (message :Data) -> (message :Data);

  # Returns a configuration body, if the peer holds it.
  fetchConfiguration @1 (changeId :Text) -> (body :ConfigurationBody);

  # Returns the events of a stream that follow the given one, as far as they exist.
  streamTail @2 (keyDigest :Data, afterId :UInt32) -> (tail :StreamTail);

  # Transfers the emitted events of a stream before the calling daemon shuts down.
  adoptStream @3 (keyDigest :Data, tail :StreamTail) -> ();

  # Claims a key on behalf of the calling daemon. The record is a ClaimRecord and the
  # reply a ClaimReply, both in MessagePack; the deadline is in Unix seconds.
  claim @4 (record :Data, deadline :Float64) -> (reply :Data);

  # Records the outcome of a claim: a ClaimOutcome in MessagePack.
  recordOutcome @5 (outcome :Data) -> ();

  # Acquires the slot for a suspected request at an endpoint that the peer owns.
  acquireSuspectSlot @6 (host :Text, requestDigest :Data) -> (isGranted :Bool);

  # Releases a slot that acquireSuspectSlot granted.
  releaseSuspectSlot @7 (host :Text, requestDigest :Data) -> ();
}
