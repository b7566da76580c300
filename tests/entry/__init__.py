"""Tests of the daemon of an entry host."""
