//! The node.

fn main() {}
