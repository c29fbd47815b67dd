//! The `goldcrestvale` program.

fn main() {}
