//! Entry point of the `woodladder-lab` command.

fn main() {}
