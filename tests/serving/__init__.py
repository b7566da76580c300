"""Tests of forwarding requests to endpoints."""
