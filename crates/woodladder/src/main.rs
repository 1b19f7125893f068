//! Entry point of the `woodladder` command.

fn main() {}
