//! Settings of one node, read from JSON and checked as a whole.
