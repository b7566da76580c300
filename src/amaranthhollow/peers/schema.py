"""Loads the Cap'n Proto schema of the peer interface."""

from __future__ import annotations

from importlib.resources import as_file, files

import capnp

__all__ = ["PeerInterface", "peer_schema"]

with as_file(files("amaranthhollow.peers").joinpath("peer.capnp")) as _path:
    peer_schema = capnp.load(str(_path))

PeerInterface = peer_schema.Peer
