"""Loaded schema of the protocol between instances."""

import pathlib

import capnp

__all__ = ["peer"]

capnp.remove_import_hook()
peer = capnp.load(str(pathlib.Path(__file__).parent / "peer.capnp"))
