//! The node: joins every part into the binary lycheelatchd.
