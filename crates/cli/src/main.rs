//! The operators' command line `ibissail`.

fn main() {}
