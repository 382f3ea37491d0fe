//! Prints measurements: `measure capacity`, or `measure decisions [SEED]`, which is the default.

use std::env;

use sequoiacrank_measure::{capacity, decisions};

fn main() {
    let number = |index| env::args().nth(index).and_then(|text| text.parse().ok());
    match env::args().nth(1).as_deref() {
        Some("capacity") => println!("{}", capacity::run(capacity::Options::default())),
        _ => {
            let default = decisions::Options::default();
            let seed = number(2).unwrap_or(default.seed);
            println!("{}", decisions::run(decisions::Options { seed, ..default }));
        }
    }
}
