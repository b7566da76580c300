# The interface that daemons offer each other.
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
  # Exchanges gossip: each side's message as MessagePack.
  exchange @0 (message :Data) -> (message :Data);

  # Returns a configuration body that the peer holds.
  fetchConfiguration @1 (changeId :Text) -> (body :ConfigurationBody);

  # Returns the events of a stream after the given one, as far as they exist.
  streamTail @2 (keyDigest :Data, afterId :UInt32) -> (tail :StreamTail);

  # Hands over the emitted part of a stream whose daemon is shutting down.
  adoptStream @3 (keyDigest :Data, tail :StreamTail) -> ();

  # Claims a key on behalf of the caller's daemon: MessagePack of a ClaimRecord in,
  # of a ClaimReply out.
  claim @4 (record :Data, deadline :Float64) -> (reply :Data);

  # Records the outcome of a claim: MessagePack of a ClaimOutcome.
  recordOutcome @5 (outcome :Data) -> ();

  # Asks the owner of an endpoint whether a suspected request may run there.
  acquireSuspectSlot @6 (host :Text, requestDigest :Data) -> (isGranted :Bool);

  releaseSuspectSlot @7 (host :Text, requestDigest :Data) -> ();
}
