"""Tests of the datapath subpackage."""
